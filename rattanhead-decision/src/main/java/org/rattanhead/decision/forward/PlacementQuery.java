package org.rattanhead.decision.forward;

import java.util.Optional;
import java.util.function.ToDoubleFunction;

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
 * @param streams the streams that an instance is expected to have
 * @param even whether short prompts prefer engines with few streams
 */
record PlacementQuery(Route route, Optional<EngineModel> engine, TokenCounts tokens, long answerTokens,
		long elapsedMillis, boolean packed, double rankWeight, ToDoubleFunction<InstanceLoad> streams, boolean even) {

	/** The worth of a stream without its prompt, from the published price lists. */
	private static final double BASE_WORTH = 0.8;

	/** The prompt tokens per unit of worth, from the published price lists. */
	private static final double TOKENS_PER_WORTH = 8_000;

	/**
	 * Returns the query for a placement that spreads load by estimates.
	 * @param estimatedStreams the streams that an instance is expected to have
	 * @return the query
	 */
	PlacementQuery spread(ToDoubleFunction<InstanceLoad> estimatedStreams) {
		return new PlacementQuery(this.route, this.engine, this.tokens, this.answerTokens, this.elapsedMillis, false,
				this.rankWeight, estimatedStreams, true);
	}

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
