package org.rattanhead.core.forward;

/**
 * How much a request asks of an engine.
 *
 * @param promptTokens the prompt, in tokens
 * @param maxAnswerTokens the longest answer, in tokens
 */
public record TokenCounts(long promptTokens, long maxAnswerTokens) {
}
