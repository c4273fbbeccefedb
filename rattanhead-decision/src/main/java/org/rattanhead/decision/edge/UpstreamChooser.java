package org.rattanhead.decision.edge;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

import org.rattanhead.core.catalogue.UpstreamEntry;
import org.rattanhead.core.host.Host;
import org.rattanhead.core.request.Work;
import org.rattanhead.decision.Fleet;
import org.rattanhead.decision.placement.Candidate;
import org.rattanhead.decision.placement.CandidateSource;
import org.rattanhead.decision.placement.PlacementPolicy;

/**
 * Chooses the upstream of an attempt with a placement policy.
 */
final class UpstreamChooser {

	private final PlacementPolicy policy;

	private final RandomGenerator random;

	private final OutstandingWork outstanding;

	UpstreamChooser(PlacementPolicy policy, RandomGenerator random, OutstandingWork outstanding) {
		this.policy = policy;
		this.random = random;
		this.outstanding = outstanding;
	}

	Optional<Candidate> choose(Work work, Fleet fleet, Set<String> excluded) {
		List<UpstreamEntry> upstreams = fleet.view().upstreams(work.target());
		return this.policy.choose(new CandidateSource() {
			@Override
			public int size() {
				return upstreams.size();
			}

			@Override
			public Candidate get(int index) {
				return candidate(upstreams.get(index), work, fleet, excluded);
			}
		}, this.random);
	}

	private Candidate candidate(UpstreamEntry upstream, Work work, Fleet fleet, Set<String> excluded) {
		Optional<Host> holding = fleet.holder(upstream);
		String holder = holding.map(Host::name).orElse("");
		boolean usable = holding.isPresent() && fleet.acceptsWork(upstream) && !excluded.contains(upstream.name())
				&& this.outstanding.accepting(upstream.name(), holder) && fits(upstream, work);
		return new Candidate(upstream, holder, usable, this.outstanding.tokens(upstream.name(), holder),
				this.outstanding.requests(upstream.name(), holder));
	}

	private static boolean fits(UpstreamEntry upstream, Work work) {
		return !upstream.engine() || work.memoryTokens() <= upstream.memoryTokens();
	}

}
