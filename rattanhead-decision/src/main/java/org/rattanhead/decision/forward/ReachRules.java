package org.rattanhead.decision.forward;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.OptionalLong;

import org.rattanhead.core.Millis;
import org.rattanhead.core.forward.AttemptFault;
import org.rattanhead.core.forward.UpstreamInstance;
import org.rattanhead.decision.BoundedMap;
import org.rattanhead.decision.reach.PeerContact;
import org.rattanhead.decision.reach.ReachDecider;
import org.rattanhead.decision.reach.ReachState;

/**
 * Finds out whether this daemon has lost its links to all instances, from its attempts,
 * from probes and from the reports of other daemons.
 */
final class ReachRules {

	/** The delay beyond twice the predicted time after which an attempt is overdue. */
	private static final long OVERDUE_MILLIS = 500;

	/** Distinguishes daemons from instances in logs. */
	private static final String DAEMON_PREFIX = "daemon/";

	private final ForwardState state;

	private final ReachDecider decider;

	private final Map<String, InstanceLoad> daemons = new BoundedMap<>(ReachDecider.MAX_PEERS);

	private OptionalLong probeAnsweredNanos = OptionalLong.empty();

	private boolean published;

	ReachRules(ForwardState state) {
		this.state = state;
		this.decider = new ReachDecider(state.random());
	}

	boolean stranded() {
		return this.decider.state() == ReachState.STRANDED;
	}

	boolean suspected() {
		return this.decider.state() == ReachState.SUSPECTED;
	}

	/**
	 * Returns the other daemons that instances answer.
	 * @param nowNanos the time on the monotonic clock
	 * @return one for each daemon, in the form of an instance that requests are sent to
	 */
	List<InstanceLoad> reachingDaemons(long nowNanos) {
		return this.decider.reachingPeers(nowNanos).stream().map(this.daemons::get).filter(Objects::nonNull).toList();
	}

	/**
	 * Returns the time since an instance last answered this daemon.
	 * @param nowNanos the time on the monotonic clock
	 * @return the time in milliseconds, empty if none has
	 */
	OptionalLong contactAgeMillis(long nowNanos) {
		OptionalLong answeredNanos = answeredNanos();
		return answeredNanos.isEmpty() ? OptionalLong.empty()
				: OptionalLong.of(Millis.ofNanos(nowNanos - answeredNanos.getAsLong()));
	}

	void failed(Forwarding forwarding, AttemptFault fault, long nowNanos) {
		if (forwarding.plan().relayed()) {
			return;
		}
		this.decider.failed(forwarding.plan().primary().instance(), fault == AttemptFault.NOT_SENT, answeredNanos(),
				nowNanos);
	}

	List<ForwardCommand> probed(InstanceProbed event, long nowNanos) {
		if (event.answered()) {
			this.probeAnsweredNanos = OptionalLong.of(nowNanos);
		}
		this.decider.probed(event.instance(), event.answered(), nowNanos);
		return publishChange(nowNanos);
	}

	List<ForwardCommand> peerReported(PeerContactReported event, long nowNanos) {
		InstanceLoad known = this.daemons.get(event.host());
		if (known == null || !known.instance().address().equals(event.address())) {
			this.daemons.put(event.host(),
					new InstanceLoad(
							new UpstreamInstance(DAEMON_PREFIX + event.host(), "", event.address(), "", 1, false, 0, 0),
							nowNanos));
		}
		event.contactAgeMillis()
			.ifPresent((ageMillis) -> this.decider.peerReported(
					new PeerContact(event.host(), event.ready(), nowNanos - Millis.toNanos(ageMillis)), nowNanos));
		return publishChange(nowNanos);
	}

	void peerLost(String host) {
		this.daemons.remove(host);
		this.decider.peerLost(host);
	}

	void tick(long nowNanos, List<ForwardCommand> commands) {
		this.state.all()
			.stream()
			.filter((forwarding) -> silent(forwarding, nowNanos))
			.findAny()
			.ifPresent((forwarding) -> failed(forwarding, AttemptFault.TIMED_OUT, nowNanos));
		this.decider.dueProbes(() -> probeTargets(nowNanos), nowNanos)
			.forEach((instance) -> commands.add(new ProbeInstance(instance, ReachDecider.PROBE_TIMEOUT_MILLIS)));
		commands.addAll(publishChange(nowNanos));
	}

	private List<UpstreamInstance> probeTargets(long nowNanos) {
		UpstreamFleet fleet = this.state.fleet();
		List<InstanceLoad> open = fleet.all()
			.stream()
			.filter((load) -> fleet.acceptsWork(load, nowNanos) && !fleet.turns().limited(load.instance(), nowNanos))
			.toList();
		// Any answer counts, so the others are probed if nothing else is left.
		return (open.isEmpty() ? fleet.all() : open).stream().map(InstanceLoad::instance).toList();
	}

	private boolean silent(Forwarding forwarding, long nowNanos) {
		if (forwarding.stage() != ForwardStage.SENT || forwarding.plan().relayed()) {
			return false;
		}
		double allowedMillis = OVERDUE_MILLIS + 2 * forwarding.plan().firstTokenMillis();
		return Millis.ofNanos(nowNanos - forwarding.sentNanos()) >= allowedMillis
				&& answeredNanos().orElse(Long.MIN_VALUE) < forwarding.sentNanos();
	}

	private OptionalLong answeredNanos() {
		long instances = this.state.fleet()
			.all()
			.stream()
			.mapToLong((load) -> load.answeredNanos().orElse(Long.MIN_VALUE))
			.max()
			.orElse(Long.MIN_VALUE);
		long latest = Math.max(instances, this.probeAnsweredNanos.orElse(Long.MIN_VALUE));
		return (latest == Long.MIN_VALUE) ? OptionalLong.empty() : OptionalLong.of(latest);
	}

	private List<ForwardCommand> publishChange(long nowNanos) {
		if (this.published == stranded()) {
			return List.of();
		}
		this.published = stranded();
		List<DecisionInput> inputs = new ArrayList<>();
		contactAgeMillis(nowNanos).ifPresent((ageMillis) -> inputs.add(DecisionInput.of("contact_age_ms", ageMillis)));
		inputs.add(DecisionInput.of("reaching_peers", this.decider.reachingPeers(nowNanos).size()));
		return List.of(new LogDecision("reach", "", "", "", this.published ? "lost" : "regained", inputs),
				new PublishReach(this.published));
	}

}
