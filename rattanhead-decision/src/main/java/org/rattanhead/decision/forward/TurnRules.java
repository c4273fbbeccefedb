package org.rattanhead.decision.forward;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;

import org.rattanhead.core.forward.ServiceLimits;
import org.rattanhead.core.request.RequestId;
import org.rattanhead.decision.limit.InstanceTurns;
import org.rattanhead.decision.limit.Turn;

/**
 * Decides whether a request waits in this daemon while all instances that could take it
 * have reached their limits, by their word or because they are cold. Requests of a
 * service go in the order in which they began to wait.
 */
final class TurnRules {

	/** Share of the remaining time that a request may wait. */
	private static final double MAX_WAIT_SHARE = 0.5;

	/** Share of the limits above which they count as used up. */
	private static final double BUSY_SHARE = 0.7;

	private static final double MILLIS_PER_SECOND = 1_000;

	private final ForwardState state;

	private final Map<RequestId, Forwarding> waiting = new LinkedHashMap<>();

	TurnRules(ForwardState state) {
		this.state = state;
	}

	/**
	 * Selects the instances that a request may use: none while others wait for the turns
	 * of all of them. Prompts that are read in parts use instances without a limit if
	 * there are any, since orders and parts count as requests.
	 * @param forwarding the request
	 * @param split whether several instances may read parts of its prompt
	 * @param candidates the instances that accept a request now
	 * @param nowNanos the time on the monotonic clock
	 * @return the selected ones
	 */
	List<InstanceLoad> select(Forwarding forwarding, boolean split, List<InstanceLoad> candidates, long nowNanos) {
		InstanceTurns turns = this.state.fleet().turns();
		List<InstanceLoad> unlimited = candidates.stream()
			.filter((load) -> !turns.limited(load.instance(), nowNanos))
			.toList();
		if (unlimited.size() == candidates.size()) {
			return candidates;
		}
		if (unlimited.isEmpty()) {
			return (ahead(forwarding) > 0 && !this.waiting.containsKey(forwarding.request().id())) ? List.of()
					: candidates;
		}
		return split ? unlimited : candidates;
	}

	/**
	 * Holds a request that no instance accepts now if the turn of one comes early enough.
	 * @param forwarding the request
	 * @param nowNanos the time on the monotonic clock
	 * @param commands receives the log line of a request that begins to wait
	 * @return whether it waits, or why it is refused
	 */
	DispatchResult holdOrRefuse(Forwarding forwarding, long nowNanos, List<ForwardCommand> commands) {
		List<Turn> turns = turns(forwarding, nowNanos);
		if (turns.isEmpty()) {
			return DispatchResult.NO_INSTANCE;
		}
		double waitMillis = waitMillis(forwarding, turns);
		if (!answersInTime(forwarding, turns, waitMillis, nowNanos)) {
			this.waiting.remove(forwarding.request().id());
			return DispatchResult.LIMITS_REACHED;
		}
		if (this.waiting.put(forwarding.request().id(), forwarding) == null) {
			commands.add(new LogDecision("wait-for-turn", forwarding.request().id().value(),
					forwarding.request().callerAttempt(), "", "all instances have reached their limits",
					List.of(DecisionInput.of("wait_ms", Math.round(waitMillis)),
							DecisionInput.of("waiting", this.waiting.size()),
							DecisionInput.of("left_ms", forwarding.remainingMillis(nowNanos)))));
		}
		forwarding.hold();
		return DispatchResult.HELD;
	}

	/**
	 * Returns when a request that is refused now may expect a turn.
	 * @param forwarding the request
	 * @param nowNanos the time on the monotonic clock
	 * @return the time in milliseconds, empty if an instance accepts it or none has a
	 * limit
	 */
	OptionalDouble turnMillis(Forwarding forwarding, long nowNanos) {
		List<Turn> turns = turns(forwarding, nowNanos);
		return turns.isEmpty() ? OptionalDouble.empty() : OptionalDouble.of(waitMillis(forwarding, turns));
	}

	/**
	 * Returns whether another instance than the current one can answer a request in time
	 * after a wait for its turn.
	 * @param forwarding the request, which was sent
	 * @param nowNanos the time on the monotonic clock
	 * @return false also if no other instance has a limit
	 */
	boolean alternativeInTime(Forwarding forwarding, long nowNanos) {
		Set<String> excluded = new HashSet<>(forwarding.excluded());
		excluded.add(forwarding.plan().primary().instance().id());
		List<Turn> turns = turns(forwarding.service(), excluded, nowNanos);
		return !turns.isEmpty() && answersInTime(forwarding, turns, waitMillis(forwarding, turns), nowNanos);
	}

	private List<Turn> turns(Forwarding forwarding, long nowNanos) {
		List<InstanceLoad> candidates = this.state.fleet()
			.candidates(forwarding.service(), forwarding.excluded(), nowNanos);
		return select(forwarding, false, candidates, nowNanos).isEmpty()
				? turns(forwarding.service(), forwarding.excluded(), nowNanos) : List.of();
	}

	private List<Turn> turns(ServiceLimits service, Set<String> excluded, long nowNanos) {
		return this.state.fleet()
			.accepting(service, nowNanos)
			.stream()
			.filter((load) -> !excluded.contains(load.instance().id()))
			.map((load) -> this.state.fleet().turns().turn(load.instance(), nowNanos))
			.flatMap(Optional::stream)
			.toList();
	}

	private double waitMillis(Forwarding forwarding, List<Turn> turns) {
		double perSecond = turns.stream().mapToDouble(Turn::perSecond).sum();
		double earliestMillis = turns.stream().mapToDouble(Turn::waitMillis).min().orElse(0);
		// The other daemons take their turns as well while all limits are used up.
		int sharing = busy(turns) ? this.state.fleet().turns().share().heard() : 1;
		double turnsBefore = ahead(forwarding) * sharing + (sharing - 1) / 2.0;
		return earliestMillis + turnsBefore / perSecond * MILLIS_PER_SECOND;
	}

	private static boolean busy(List<Turn> turns) {
		return turns.stream().mapToDouble(Turn::startsPerSecond).sum() >= BUSY_SHARE
				* turns.stream().mapToDouble(Turn::perSecond).sum();
	}

	private static boolean answersInTime(Forwarding forwarding, List<Turn> turns, double waitMillis, long nowNanos) {
		double answerMillis = answerMillis(forwarding);
		double targetMillis = forwarding.route().targetLatencyMillis();
		if (forwarding.elapsedMillis(nowNanos) + waitMillis + answerMillis <= targetMillis) {
			return true;
		}
		// Beyond its target, a request goes on to wait when the limits become used up.
		boolean worthWaiting = !busy(turns) || forwarding.elapsedMillis(nowNanos) >= targetMillis;
		return worthWaiting && waitMillis + answerMillis <= MAX_WAIT_SHARE * forwarding.remainingMillis(nowNanos);
	}

	private static double answerMillis(Forwarding forwarding) {
		return forwarding.service()
			.engine()
			.map((engine) -> engine
				.readMillis(forwarding.request().tokens().map((tokens) -> tokens.promptTokens()).orElse(0L)))
			.orElse(ServicePlacement.USUAL_MILLIS);
	}

	private int ahead(Forwarding forwarding) {
		this.waiting.values()
			.removeIf((other) -> other.stage() != ForwardStage.HELD || this.state.find(other.request().id()).isEmpty());
		int ahead = 0;
		for (Forwarding other : this.waiting.values()) {
			if (other == forwarding) {
				break;
			}
			ahead += other.service().name().equals(forwarding.service().name()) ? 1 : 0;
		}
		return ahead;
	}

}
