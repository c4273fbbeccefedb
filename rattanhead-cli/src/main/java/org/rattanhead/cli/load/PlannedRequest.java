package org.rattanhead.cli.load;

/**
 * A request of a load.
 *
 * @param number its number, from 0
 * @param atMicros when it is due, in microseconds after the start
 * @param promptTokens length of the prompt, in tokens
 * @param outputTokens length of the answer, in tokens
 */
public record PlannedRequest(int number, long atMicros, int promptTokens, int outputTokens) {
}
