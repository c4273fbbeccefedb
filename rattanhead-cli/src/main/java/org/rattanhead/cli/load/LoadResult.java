package org.rattanhead.cli.load;

import java.util.List;

/**
 * The result of a load.
 *
 * @param plan the plan
 * @param outcomes one outcome for each request
 * @param elapsedMillis how long it took, in milliseconds
 */
public record LoadResult(LoadPlan plan, List<LoadOutcome> outcomes, long elapsedMillis) {

	/**
	 * Copies the outcomes.
	 * @param plan the plan
	 * @param outcomes the outcomes
	 * @param elapsedMillis how long it took, in milliseconds
	 */
	public LoadResult {
		outcomes = List.copyOf(outcomes);
	}

}
