package org.rattanhead.decision.placement;

import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Chooses the upstreams in rotation and skips unusable ones. Owned by one duty.
 */
final class RoundRobin implements PlacementPolicy {

	private int next;

	@Override
	public Optional<Candidate> choose(CandidateSource candidates, RandomGenerator random) {
		for (int tried = 0; tried < candidates.size(); tried++) {
			Candidate candidate = candidates.get(Math.floorMod(this.next++, candidates.size()));
			if (candidate.usable()) {
				return Optional.of(candidate);
			}
		}
		return Optional.empty();
	}

}
