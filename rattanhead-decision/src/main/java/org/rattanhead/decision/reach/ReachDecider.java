package org.rattanhead.decision.reach;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;

import org.rattanhead.core.Millis;
import org.rattanhead.core.forward.UpstreamInstance;
import org.rattanhead.decision.BoundedMap;

/**
 * Decides whether this daemon is stranded: whether probes of several instances on new
 * connections fail while instances answer other daemons. If no other daemon reports
 * answers either, the instances are at fault, and nobody is stranded.
 */
public final class ReachDecider {

	/** Far more than there are; names of hosts arrive from the network. */
	public static final int MAX_PEERS = 4_096;

	/** The time-out of a probe. */
	public static final long PROBE_TIMEOUT_MILLIS = 350;

	/** The time without an answer of any instance after which one failure is enough. */
	private static final long SILENCE_NANOS = Millis.toNanos(300);

	/** Connections to several failure domains that fail within this time are enough. */
	private static final long FAILURE_WINDOW_NANOS = Millis.toNanos(2_000);

	private static final long ROUND_PAUSE_NANOS = Millis.toNanos(500);

	/** Outcomes that are later than this were lost in the daemon. */
	private static final long ROUND_LIMIT_NANOS = Millis.toNanos(2 * PROBE_TIMEOUT_MILLIS);

	/** The pause after a probe was answered, since failures have another reason then. */
	private static final long CALM_NANOS = Millis.toNanos(2_000);

	/** A report of another daemon counts for as long as its last heartbeat does. */
	private static final long PEER_REPORT_NANOS = Millis.toNanos(2_200);

	private static final int PROBES = 4;

	/** One answer is enough to end it, so that fewer probes are made. */
	private static final int STRANDED_PROBES = 2;

	private final RandomGenerator random;

	private final Map<String, PeerContact> peers = new BoundedMap<>(MAX_PEERS);

	private final Map<String, UnsentCall> unsent = new HashMap<>();

	private ReachState state = ReachState.REACHING;

	private ProbeRound round;

	private long nextRoundNanos = Long.MIN_VALUE;

	private OptionalLong unreachedSinceNanos = OptionalLong.empty();

	/**
	 * Creates the decider of one daemon.
	 * @param random selects the instances to probe
	 */
	public ReachDecider(RandomGenerator random) {
		this.random = random;
	}

	public ReachState state() {
		return this.state;
	}

	/**
	 * Records that an attempt of this daemon failed or is overdue.
	 * @param instance the instance
	 * @param connecting whether no connection was established
	 * @param answeredNanos when any instance last answered, empty if none has
	 * @param nowNanos the time on the monotonic clock
	 */
	public void failed(UpstreamInstance instance, boolean connecting, OptionalLong answeredNanos, long nowNanos) {
		if (connecting) {
			this.unsent.put(instance.id(), new UnsentCall(instance.failureDomain(), nowNanos));
		}
		this.unsent.values().removeIf((call) -> nowNanos - call.nanos() > FAILURE_WINDOW_NANOS);
		boolean silent = answeredNanos.isEmpty() || nowNanos - answeredNanos.getAsLong() >= SILENCE_NANOS;
		Set<String> domains = this.unsent.values().stream().map(UnsentCall::failureDomain).collect(Collectors.toSet());
		if (this.state == ReachState.REACHING && nowNanos >= this.nextRoundNanos && (silent || domains.size() > 1)) {
			this.state = ReachState.SUSPECTED;
		}
	}

	/**
	 * Records what another daemon reported.
	 * @param contact the report
	 * @param nowNanos the time on the monotonic clock
	 */
	public void peerReported(PeerContact contact, long nowNanos) {
		this.peers.put(contact.host(), contact);
		compareWithPeers(nowNanos);
	}

	/**
	 * Forgets what another daemon reported, since it is unresponsive.
	 * @param host its host
	 */
	public void peerLost(String host) {
		this.peers.remove(host);
	}

	/**
	 * Returns the other daemons that instances answer.
	 * @param nowNanos the time on the monotonic clock
	 * @return their hosts
	 */
	public List<String> reachingPeers(long nowNanos) {
		return this.peers.values()
			.stream()
			.filter((peer) -> peer.answeredSince(nowNanos - PEER_REPORT_NANOS))
			.map(PeerContact::host)
			.sorted()
			.toList();
	}

	/**
	 * Returns the probes that are due.
	 * @param targets returns the instances that may be probed; called if probes are due
	 * @param nowNanos the time on the monotonic clock
	 * @return the instances to probe; the outcome of each is awaited
	 */
	public List<UpstreamInstance> dueProbes(Supplier<List<UpstreamInstance>> targets, long nowNanos) {
		compareWithPeers(nowNanos);
		if (this.round != null && nowNanos - this.round.startNanos() >= ROUND_LIMIT_NANOS) {
			this.round = null;
		}
		if (this.state == ReachState.REACHING || this.round != null || nowNanos < this.nextRoundNanos) {
			return List.of();
		}
		List<UpstreamInstance> instances = targets.get();
		if (instances.isEmpty()) {
			reached(nowNanos);
			return List.of();
		}
		int count = (this.state == ReachState.STRANDED) ? STRANDED_PROBES : PROBES;
		List<UpstreamInstance> selected = ProbeSelection.select(instances, count, this.random);
		this.round = new ProbeRound(selected, nowNanos);
		return selected;
	}

	/**
	 * Records the outcome of a probe.
	 * @param instance the id of the instance
	 * @param answered whether it answered
	 * @param nowNanos the time on the monotonic clock
	 */
	public void probed(String instance, boolean answered, long nowNanos) {
		if (answered) {
			reached(nowNanos);
		}
		else if (this.round != null && this.round.failed(instance)) {
			long startNanos = this.round.startNanos();
			this.unreachedSinceNanos = OptionalLong.of(this.unreachedSinceNanos.orElse(startNanos));
			this.round = null;
			this.nextRoundNanos = startNanos + ROUND_PAUSE_NANOS;
			compareWithPeers(nowNanos);
		}
	}

	private void reached(long nowNanos) {
		this.state = ReachState.REACHING;
		this.round = null;
		this.nextRoundNanos = nowNanos + CALM_NANOS;
		this.unreachedSinceNanos = OptionalLong.empty();
		this.unsent.clear();
	}

	private void compareWithPeers(long nowNanos) {
		if (this.state == ReachState.SUSPECTED && this.unreachedSinceNanos.isPresent()
				&& this.peers.values()
					.stream()
					.anyMatch((peer) -> peer.answeredSince(this.unreachedSinceNanos.getAsLong()))) {
			this.state = ReachState.STRANDED;
		}
		else if (this.state == ReachState.STRANDED && reachingPeers(nowNanos).isEmpty()) {
			this.state = ReachState.SUSPECTED;
			this.unreachedSinceNanos = OptionalLong.of(nowNanos);
		}
	}

	/**
	 * A call for which no connection was established.
	 *
	 * @param failureDomain the failure domain of the instance
	 * @param nanos when it failed, on the monotonic clock
	 */
	private record UnsentCall(String failureDomain, long nanos) {
	}

}
