package org.rattanhead.cli.load;

/**
 * A band of prompt lengths.
 *
 * @param fromTokens the shortest, in tokens
 * @param toTokens above the longest, in tokens
 */
public record LengthBand(int fromTokens, int toTokens) {
}
