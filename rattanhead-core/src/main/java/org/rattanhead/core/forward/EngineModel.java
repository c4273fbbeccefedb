package org.rattanhead.core.forward;

/**
 * Published figures of a model engine.
 *
 * @param slots the requests in one batch
 * @param memoryTokens the memory for prompts and answers, in tokens
 * @param strideSteps the steps of a pass that writes
 * @param stepMillis the time of one step, in milliseconds
 * @param readTokensPerMilli the prompt tokens read in a millisecond
 * @param pairMillisPerMillion the time for a million pairs of a token and an earlier one,
 * in milliseconds
 * @param usualAnswerTokens the mean length of answers, in tokens
 */
public record EngineModel(int slots, long memoryTokens, int strideSteps, double stepMillis, double readTokensPerMilli,
		double pairMillisPerMillion, long usualAnswerTokens) {

	private static final double PAIRS_PER_UNIT = 1_000_000;

	private static final double HALF = 0.5;

	/**
	 * Returns the time to read a whole prompt on an idle engine.
	 * @param tokens the prompt, in tokens
	 * @return the time, in milliseconds
	 */
	public double readMillis(long tokens) {
		double pairs = HALF * tokens * tokens;
		return tokens / this.readTokensPerMilli + pairs / PAIRS_PER_UNIT * this.pairMillisPerMillion;
	}

	/**
	 * Returns the time of a pass that writes and reads nothing.
	 * @return the time, in milliseconds
	 */
	public double passMillis() {
		return this.strideSteps * this.stepMillis;
	}

}
