package org.rattanhead.decision.room;

/**
 * What a prompt needs of an engine.
 *
 * @param promptTokens the length of the prompt, in tokens
 * @param answerTokens the expected length of the answer, in tokens
 * @param maxReaders the most engines that read it together
 * @param overtaking the factor by which requests that arrive later prolong its wait
 */
public record PromptNeed(long promptTokens, long answerTokens, int maxReaders, double overtaking) {
}
