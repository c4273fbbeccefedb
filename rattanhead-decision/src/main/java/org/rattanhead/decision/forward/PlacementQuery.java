package org.rattanhead.decision.forward;

import java.util.Optional;

import org.rattanhead.core.forward.EngineModel;
import org.rattanhead.core.forward.Route;
import org.rattanhead.core.forward.TokenCounts;

/**
 * A request to be placed.
 *
 * @param route the route of the request
 * @param engine the figures of the engine, empty for a plain service
 * @param tokens the prompt and response lengths, in tokens
 * @param answerTokens the expected response length, in tokens
 * @param elapsedMillis how long the request has waited, in milliseconds
 * @param packed whether short prompts fill the engines in order; otherwise they spread
 * @param rankWeight the factor of the worth for the rank of the request
 */
record PlacementQuery(Route route, Optional<EngineModel> engine, TokenCounts tokens, long answerTokens,
		long elapsedMillis, boolean packed, double rankWeight) {

	/** The worth of a stream without its prompt, from the published price lists. */
	private static final double BASE_WORTH = 0.8;

	/** The prompt tokens per unit of worth, from the published price lists. */
	private static final double TOKENS_PER_WORTH = 8_000;

	double worth() {
		return this.rankWeight * worth(this.tokens.promptTokens());
	}

	static double worth(long promptTokens) {
		return BASE_WORTH + promptTokens / TOKENS_PER_WORTH;
	}

	/**
	 * Returns the memory needed for prompt and response.
	 * @return the memory, in tokens
	 */
	long memoryTokens() {
		return this.tokens.promptTokens() + this.answerTokens;
	}

}
