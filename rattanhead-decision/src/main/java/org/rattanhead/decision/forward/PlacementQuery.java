package org.rattanhead.decision.forward;

import java.util.Optional;

import org.rattanhead.core.forward.EngineModel;
import org.rattanhead.core.forward.Route;
import org.rattanhead.core.forward.TokenCounts;

/**
 * A request that needs an instance.
 *
 * @param route its route
 * @param engine the figures of the engine, empty for a plain service
 * @param tokens what it asks of an engine
 * @param answerTokens the expected length of the answer, in tokens
 * @param elapsedMillis how long the request has waited, in milliseconds
 */
record PlacementQuery(Route route, Optional<EngineModel> engine, TokenCounts tokens, long answerTokens,
		long elapsedMillis) {

	/** What a stream is worth besides its length, from the published price lists. */
	private static final double BASE_WORTH = 0.8;

	/** The prompt tokens that are worth 1, from the published price lists. */
	private static final double TOKENS_PER_WORTH = 8_000;

	/**
	 * Estimates what a timely answer is worth.
	 * @return the worth
	 */
	double worth() {
		return worth(this.tokens.promptTokens());
	}

	static double worth(long promptTokens) {
		return BASE_WORTH + promptTokens / TOKENS_PER_WORTH;
	}

	/**
	 * Returns the memory that prompt and answer take.
	 * @return the memory, in tokens
	 */
	long memoryTokens() {
		return this.tokens.promptTokens() + this.answerTokens;
	}

}
