package org.rattanhead.cli.load;

/**
 * A bucket of prompt lengths in reports.
 */
enum LengthBucket {

	UP_TO_2K("1k-2k", 2_000), UP_TO_8K("2k-8k", 8_000), UP_TO_32K("8k-32k", 32_000), UP_TO_100K("32k-100k", 100_000),
	UP_TO_400K("100k-400k", 400_000), UP_TO_1M("400k-1M", Integer.MAX_VALUE);

	private final String label;

	private final int maxTokens;

	LengthBucket(String label, int maxTokens) {
		this.label = label;
		this.maxTokens = maxTokens;
	}

	String label() {
		return this.label;
	}

	static LengthBucket of(int tokens) {
		for (LengthBucket bucket : values()) {
			if (tokens < bucket.maxTokens) {
				return bucket;
			}
		}
		return UP_TO_1M;
	}

}
