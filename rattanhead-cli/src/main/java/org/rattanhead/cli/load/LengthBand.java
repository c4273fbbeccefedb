package org.rattanhead.cli.load;

/**
 * A band of prompt lengths.
 *
 * @param fromTokens the inclusive lower bound, in tokens
 * @param toTokens the exclusive upper bound, in tokens
 */
public record LengthBand(int fromTokens, int toTokens) {
}
