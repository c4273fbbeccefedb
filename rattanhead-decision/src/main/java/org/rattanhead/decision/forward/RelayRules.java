package org.rattanhead.decision.forward;

import java.util.List;
import java.util.Optional;

import org.rattanhead.core.Millis;
import org.rattanhead.core.forward.ForwardCall;
import org.rattanhead.core.forward.RouteKind;
import org.rattanhead.core.request.AttemptId;

/**
 * Passes requests on to another daemon while this one does not reach the instances. The
 * other daemon places them, counts them against all limits and retries them; this one
 * relays its answer.
 */
final class RelayRules {

	/** Urgency and workspace are set by the other daemon. */
	private static final int NO_URGENCY = 5;

	/** The share of the remaining time after which another daemon is tried. */
	private static final int ANSWER_SHARE = 2;

	private final ForwardState state;

	RelayRules(ForwardState state) {
		this.state = state;
	}

	/**
	 * Passes a request on, or refuses it, if this daemon does not reach the instances.
	 * @param forwarding the request
	 * @param nowNanos the time on the monotonic clock
	 * @param commands receives the resulting commands
	 * @return the result, empty if the request is to be placed here
	 */
	Optional<DispatchResult> passOn(Forwarding forwarding, long nowNanos, List<ForwardCommand> commands) {
		boolean stranded = this.state.reach().stranded();
		if (!stranded && !suspected(forwarding)) {
			return Optional.empty();
		}
		Optional<InstanceLoad> daemon = forwarding.policy().viaPeer() ? Optional.empty() : choose(forwarding, nowNanos);
		daemon.ifPresent((chosen) -> send(forwarding, PlacementPlan.relay(chosen), nowNanos, commands));
		if (daemon.isPresent()) {
			return Optional.of(DispatchResult.PLACED);
		}
		return stranded ? Optional.of(DispatchResult.OUT_OF_REACH) : Optional.empty();
	}

	private boolean suspected(Forwarding forwarding) {
		// A request that was tried here without being sent would only fail once more.
		return this.state.reach().suspected() && forwarding.attempts() > 0 && forwarding.runs() == 0;
	}

	private Optional<InstanceLoad> choose(Forwarding forwarding, long nowNanos) {
		List<InstanceLoad> daemons = this.state.reach()
			.reachingDaemons(nowNanos)
			.stream()
			.filter((daemon) -> !forwarding.excluded().contains(daemon.instance().id()))
			.toList();
		return daemons.isEmpty() ? Optional.empty()
				: Optional.of(daemons.get(this.state.random().nextInt(daemons.size())));
	}

	private void send(Forwarding forwarding, PlacementPlan plan, long nowNanos, List<ForwardCommand> commands) {
		AttemptId attempt = forwarding.begin(plan, List.of());
		boolean repeated = forwarding.recordCall(plan.primary().instance().id());
		boolean repeatable = forwarding.route().repeatable();
		Optional<String> resumeAfter = forwarding.relay().lastEventId().or(forwarding.request()::lastEventId);
		long remainingMillis = forwarding.remainingMillis(nowNanos);
		forwarding.mayHaveRun();
		forwarding.stage(ForwardStage.SENT,
				repeatable ? nowNanos + Millis.toNanos(remainingMillis / ANSWER_SHARE) : Long.MAX_VALUE);
		forwarding.markSent(nowNanos);
		commands.add(AttemptLog.decision("relay", forwarding, "sent", nowNanos));
		commands.add(new CallInstance(
				new ForwardCall(attempt, forwarding.request(), plan.primary().instance(), "", remainingMillis,
						NO_URGENCY, List.of(), resumeAfter,
						repeated || forwarding.route().kind() == RouteKind.AT_MOST_ONCE, true),
				ConnectTimeout.millis(remainingMillis)));
	}

}
