package org.rattanhead.core.forward;

/**
 * The token counts of a request to an engine.
 *
 * @param promptTokens the length of the prompt, in tokens
 * @param maxAnswerTokens the longest answer, in tokens
 */
public record TokenCounts(long promptTokens, long maxAnswerTokens) {
}
