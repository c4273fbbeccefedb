package org.rattanhead.decision.reach;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.Random;

import org.rattanhead.core.Millis;
import org.rattanhead.core.forward.UpstreamInstance;

/**
 * The links of one daemon to six instances of two services in three failure domains, and
 * the reports of seven other daemons, in virtual time.
 */
final class SimulatedLinks {

	private static final long STEP_MILLIS = 20;

	private static final long ATTEMPT_PERIOD_MILLIS = 200;

	private static final long CONNECT_MILLIS = 400;

	private static final long ANSWER_MILLIS = 10;

	private static final long REPORT_PERIOD_MILLIS = 700;

	private static final int PEERS = 7;

	final ReachDecider decider;

	private final Random random;

	private final List<UpstreamInstance> instances = new ArrayList<>();

	private final PriorityQueue<Outcome> outcomes = new PriorityQueue<>(Comparator.comparingLong(Outcome::millis));

	private OptionalLong answeredNanos = OptionalLong.empty();

	private long nowMillis = 10_000;

	private int probes;

	private int strandedSteps;

	SimulatedLinks(long seed) {
		this.random = new Random(seed);
		this.decider = new ReachDecider(new Random(seed));
		for (int index = 0; index < 6; index++) {
			this.instances.add(new UpstreamInstance("i" + index, "service-" + index % 2, "10.0.0." + index + ":80",
					"domain-" + index % 3, 4, false, 0, 1));
		}
	}

	int probes() {
		return this.probes;
	}

	/**
	 * Returns in how many steps the daemon was stranded.
	 * @return the number of steps
	 */
	int strandedSteps() {
		return this.strandedSteps;
	}

	/**
	 * Lets time pass.
	 * @param millis the time in milliseconds
	 * @param trouble what fails
	 */
	void run(long millis, LinkTrouble trouble) {
		long endMillis = this.nowMillis + millis;
		while (this.nowMillis < endMillis) {
			this.nowMillis += STEP_MILLIS;
			while (!this.outcomes.isEmpty() && this.outcomes.peek().millis() <= this.nowMillis) {
				this.outcomes.poll().report().run();
			}
			if (this.nowMillis % ATTEMPT_PERIOD_MILLIS == 0 && trouble.attempts) {
				attempt(trouble);
			}
			for (int peer = 0; peer < PEERS; peer++) {
				if ((this.nowMillis + peer * REPORT_PERIOD_MILLIS / PEERS) % REPORT_PERIOD_MILLIS == 0
						&& trouble.peersHeard) {
					long age = trouble.peersReach ? this.random.nextInt(100) : this.nowMillis;
					this.decider.peerReported(new PeerContact("peer-" + peer, trouble.peersReady, nanos(-age)),
							nanos(0));
				}
			}
			this.decider.dueProbes(() -> this.instances, nanos(0)).forEach((instance) -> probe(instance, trouble));
			this.strandedSteps += (this.decider.state() == ReachState.STRANDED) ? 1 : 0;
		}
	}

	private void attempt(LinkTrouble trouble) {
		UpstreamInstance instance = this.instances.get(this.random.nextInt(this.instances.size()));
		boolean keptConnection = trouble.keptConnectionsLive && this.random.nextBoolean();
		if (keptConnection || !trouble.cut.test(instance)) {
			later(ANSWER_MILLIS, () -> this.answeredNanos = OptionalLong.of(nanos(0)));
		}
		else {
			later(trouble.refused ? 1 : CONNECT_MILLIS,
					() -> this.decider.failed(instance, true, this.answeredNanos, nanos(0)));
		}
	}

	private void probe(UpstreamInstance instance, LinkTrouble trouble) {
		this.probes++;
		if (trouble.losesOutcomes()) {
			return;
		}
		boolean answered = !trouble.cut.test(instance);
		later(answered ? ANSWER_MILLIS : ReachDecider.PROBE_TIMEOUT_MILLIS, () -> {
			if (answered) {
				this.answeredNanos = OptionalLong.of(nanos(0));
			}
			this.decider.probed(instance.id(), answered, nanos(0));
		});
	}

	private void later(long millis, Runnable report) {
		this.outcomes.add(new Outcome(this.nowMillis + millis, report));
	}

	private long nanos(long offsetMillis) {
		return Millis.toNanos(this.nowMillis + offsetMillis);
	}

	/**
	 * An outcome that is reported later.
	 *
	 * @param millis when it is reported
	 * @param report reports it
	 */
	private record Outcome(long millis, Runnable report) {
	}

}
