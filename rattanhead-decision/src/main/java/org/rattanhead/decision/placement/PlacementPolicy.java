package org.rattanhead.decision.placement;

import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Chooses an upstream for a request.
 */
@FunctionalInterface
public interface PlacementPolicy {

	/**
	 * Chooses an upstream.
	 * @param candidates the upstreams of the target
	 * @param random the seeded random generator
	 * @return a usable candidate, empty if there is none
	 */
	Optional<Candidate> choose(CandidateSource candidates, RandomGenerator random);

}
