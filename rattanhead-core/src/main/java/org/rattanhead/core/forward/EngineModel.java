package org.rattanhead.core.forward;

/**
 * The published performance figures of a model engine.
 *
 * @param slots the most requests in one batch
 * @param memoryTokens the memory for prompts and answers, in tokens
 * @param strideSteps the decoding steps in one pass
 * @param stepMillis the time of one step, in milliseconds
 * @param readTokensPerMilli the prompt tokens read per millisecond
 * @param pairMillisPerMillion the attention time for a million pairs of a token and an
 * earlier one, in milliseconds
 * @param meanAnswerTokens the mean length of answers, in tokens
 */
public record EngineModel(int slots, long memoryTokens, int strideSteps, double stepMillis, double readTokensPerMilli,
		double pairMillisPerMillion, long meanAnswerTokens) {

	/** How much longer a stream takes while the engine also reads prompts. */
	private static final double READING_SLOWDOWN = 1.35;

	private static final double MILLION = 1_000_000;

	private static final double PAIRS_PER_SQUARED_TOKEN = 0.5;

	/**
	 * Returns the time to read a complete prompt on an idle engine.
	 * @param tokens the prompt, in tokens
	 * @return the time, in milliseconds
	 */
	public double readMillis(long tokens) {
		double pairs = PAIRS_PER_SQUARED_TOKEN * tokens * tokens;
		return tokens / this.readTokensPerMilli + pairs / MILLION * this.pairMillisPerMillion;
	}

	/**
	 * Returns the mean time between the ends of two streams on an engine whose slots are
	 * all in use.
	 * @return the time, in milliseconds
	 */
	public double slotMillis() {
		return this.meanAnswerTokens * this.stepMillis * READING_SLOWDOWN / Math.max(1, this.slots);
	}

	/**
	 * Returns the time of a pass that generates output and reads no prompt.
	 * @return the time, in milliseconds
	 */
	public double passMillis() {
		return this.strideSteps * this.stepMillis;
	}

}
