package org.rattanhead.cli.load;

import java.util.List;
import java.util.random.RandomGenerator;

/**
 * The distribution of prompt lengths in a load.
 *
 * @param shares the share of each band, in the order of the bands; the sum is 1
 * @param bands the bands
 */
public record LengthMix(List<Double> shares, List<LengthBand> bands) {

	/**
	 * Lengths from a thousand to a million tokens; one in fifty is over a hundred
	 * thousand.
	 */
	public static final LengthMix MIXED = new LengthMix(List.of(0.5, 0.28, 0.15, 0.05, 0.015, 0.005),
			List.of(new LengthBand(1_000, 2_000), new LengthBand(2_000, 8_000), new LengthBand(8_000, 32_000),
					new LengthBand(32_000, 100_000), new LengthBand(100_000, 400_000),
					new LengthBand(400_000, 1_000_000)));

	/** Short prompts only. */
	public static final LengthMix SHORT = new LengthMix(List.of(1.0), List.of(new LengthBand(1_000, 2_000)));

	/**
	 * Draws a prompt length.
	 * @param random the seeded random generator
	 * @return the length, in tokens
	 */
	public int draw(RandomGenerator random) {
		double remainder = random.nextDouble();
		int index = 0;
		while (index < this.shares.size() - 1 && remainder >= this.shares.get(index)) {
			remainder -= this.shares.get(index);
			index++;
		}
		LengthBand band = this.bands.get(index);
		return random.nextInt(band.fromTokens(), band.toTokens());
	}

}
