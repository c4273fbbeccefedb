package org.rattanhead.decision.placement;

import java.util.Comparator;
import java.util.Optional;
import java.util.random.RandomGenerator;
import java.util.stream.IntStream;

/**
 * The placement policies. All but {@link #leastWork} are baselines to compare against.
 */
public final class PlacementPolicies {

	private static final int SAMPLE_SIZE = 4;

	private static final Comparator<Candidate> BY_OUTSTANDING_TOKENS = Comparator
		.comparingLong(Candidate::outstandingTokens)
		.thenComparingInt(Candidate::outstandingRequests);

	private static final Comparator<Candidate> BY_OUTSTANDING_REQUESTS = Comparator
		.comparingInt(Candidate::outstandingRequests);

	private PlacementPolicies() {
	}

	/**
	 * Chooses the upstream with the least outstanding work among a few sampled at random,
	 * or among all if no sampled one is usable.
	 * @return the policy
	 */
	public static PlacementPolicy leastWork() {
		return (candidates, random) -> {
			if (candidates.size() <= SAMPLE_SIZE) {
				return best(candidates, BY_OUTSTANDING_TOKENS);
			}
			Optional<Candidate> sampled = sample(candidates, random);
			return sampled.isPresent() ? sampled : best(candidates, BY_OUTSTANDING_TOKENS);
		};
	}

	/**
	 * Chooses the upstream with the fewest outstanding requests.
	 * @return the policy
	 */
	public static PlacementPolicy leastOutstanding() {
		return (candidates, random) -> best(candidates, BY_OUTSTANDING_REQUESTS);
	}

	/**
	 * Chooses the upstreams in rotation.
	 * @return the policy
	 */
	public static PlacementPolicy roundRobin() {
		return new RoundRobin();
	}

	private static Optional<Candidate> sample(CandidateSource candidates, RandomGenerator random) {
		return IntStream.range(0, SAMPLE_SIZE)
			.mapToObj((sample) -> candidates.get(random.nextInt(candidates.size())))
			.filter(Candidate::usable)
			.min(BY_OUTSTANDING_TOKENS);
	}

	private static Optional<Candidate> best(CandidateSource candidates, Comparator<Candidate> order) {
		return IntStream.range(0, candidates.size()).mapToObj(candidates::get).filter(Candidate::usable).min(order);
	}

}
