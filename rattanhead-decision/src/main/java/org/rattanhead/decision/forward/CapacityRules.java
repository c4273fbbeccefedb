package org.rattanhead.decision.forward;

import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;

import org.rattanhead.core.Millis;
import org.rattanhead.core.forward.EngineModel;
import org.rattanhead.core.forward.Route;
import org.rattanhead.core.forward.ServiceLimits;
import org.rattanhead.core.forward.TokenCounts;
import org.rattanhead.decision.room.CapacityEstimate;
import org.rattanhead.decision.room.InstanceOccupancy;
import org.rattanhead.decision.room.PromptNeed;
import org.rattanhead.decision.room.RetrySchedule;
import org.rattanhead.decision.room.ReturningCallers;
import org.rattanhead.decision.room.ReturningCallers.Arrival;
import org.rattanhead.decision.room.ReturningCallers.CallerKey;

/**
 * Decides by the capacity of a service whether a request is refused at once, and when a
 * refused caller returns.
 */
final class CapacityRules {

	/** The mean length of short prompts in the deployments. */
	private static final PromptNeed SHORT_PROMPT = new PromptNeed(5_000, 0, 1, 1);

	/** The largest share of the remaining time that an answer is assumed to take. */
	private static final double UNHINTED_ANSWER_SHARE = 0.25;

	private final ForwardState state;

	private final FairSharing sharing;

	private final TurnRules turns;

	private final RetrySchedule schedule;

	private final ReturningCallers returning = new ReturningCallers();

	CapacityRules(ForwardState state, FairSharing sharing, TurnRules turns) {
		this.state = state;
		this.turns = turns;
		this.sharing = sharing;
		this.schedule = new RetrySchedule(state.random());
	}

	/**
	 * Returns whether a service is short of capacity: no instance can begin a short
	 * prompt, or a call, within the shortest target latency of its routes.
	 * @param service the service
	 * @param nowNanos the time on the monotonic clock
	 * @return true if it is
	 */
	boolean shortage(ServiceLimits service, long nowNanos) {
		List<InstanceOccupancy> instances = this.state.refusesForCapacity() ? occupancy(service, nowNanos) : List.of();
		if (instances.isEmpty()) {
			return false;
		}
		CapacityEstimate estimate = service.engine()
			.map((engine) -> CapacityEstimate.ofPrompt(engine, SHORT_PROMPT, instances))
			.orElseGet(() -> CapacityEstimate.ofCall(instances));
		return estimate.queuesFull() || estimate.firstTokenMillis() > targetLatencyMillis(service);
	}

	/**
	 * Returns when an instance is expected to accept a request that is refused now.
	 * @param forwarding the request
	 * @param nowNanos the time on the monotonic clock
	 * @return the time in milliseconds, empty if the service is not short of capacity
	 */
	OptionalLong retryAfterMillis(Forwarding forwarding, long nowNanos) {
		OptionalLong quietMillis = QuietTimes.millis(this.state.fleet(), forwarding.service(), nowNanos);
		OptionalDouble turnMillis = this.turns.turnMillis(forwarding, nowNanos);
		if (quietMillis.isEmpty() && turnMillis.isPresent()) {
			return OptionalLong
				.of(this.schedule.retryAfterMillis(turnMillis.getAsDouble(), forwarding.remainingMillis(nowNanos)));
		}
		if (quietMillis.isPresent() || !shortage(forwarding.service(), nowNanos)) {
			return quietMillis;
		}
		CallerKey caller = caller(forwarding);
		long remainingMillis = forwarding.remainingMillis(nowNanos);
		long dueMillis = this.returning.remainingMillis(caller, nowNanos);
		if (arrival(forwarding, nowNanos) == Arrival.EARLY && dueMillis > 0) {
			return OptionalLong.of(dueMillis);
		}
		CapacityEstimate estimate = estimate(forwarding, true, nowNanos);
		double capacityMillis = estimate.waitMillis() + turnMillis(forwarding.service(), estimate, nowNanos);
		long retryAfterMillis = this.schedule.retryAfterMillis(capacityMillis, remainingMillis);
		long waitMillis = RetrySchedule.waitMillis(retryAfterMillis, remainingMillis);
		this.returning.refused(caller, nowNanos + Millis.toNanos(waitMillis), nowNanos);
		return OptionalLong.of(retryAfterMillis);
	}

	/**
	 * Refuses a request that no instance can serve before its deadline, unless an
	 * instance may have run it.
	 * @param forwarding the request
	 * @param plan where it would be sent
	 * @param nowNanos the time on the monotonic clock
	 * @param commands receives the log line of a refusal
	 * @return the refusal, empty if the request can be served
	 */
	Optional<DispatchResult> refusal(Forwarding forwarding, PlacementPlan plan, long nowNanos,
			List<ForwardCommand> commands) {
		if (forwarding.runs() > 0 || isWithinShare(forwarding, plan) || hasRoom(forwarding, plan, nowNanos)
				|| !shortage(forwarding.service(), nowNanos)) {
			return Optional.empty();
		}
		boolean returns = arrival(forwarding, nowNanos) == Arrival.RETURNING;
		CapacityEstimate estimate = estimate(forwarding, returns, nowNanos);
		if (!estimate.halfTaken() || estimate.canFinish(forwarding.remainingMillis(nowNanos))) {
			return Optional.empty();
		}
		commands.add(logEstimate(forwarding, estimate, returns, nowNanos));
		return Optional.of(estimate.queuesFull() ? DispatchResult.QUEUES_FULL : DispatchResult.NO_TIME);
	}

	/**
	 * Returns whether engines admit a request after all others.
	 * @param forwarding the request
	 * @param late whether it is expected to miss its target latency
	 * @param nowNanos the time on the monotonic clock
	 * @return true for late requests, but not for those of callers that returned as
	 * asked; and for those of callers that returned too early in a shortage
	 */
	boolean deferred(Forwarding forwarding, boolean late, long nowNanos) {
		return switch (arrival(forwarding, nowNanos)) {
			case FIRST -> late;
			case RETURNING -> false;
			case EARLY -> late || shortage(forwarding.service(), nowNanos);
		};
	}

	/**
	 * Records that a request was placed.
	 * @param forwarding the request
	 * @param nowNanos the time on the monotonic clock
	 */
	void placed(Forwarding forwarding, long nowNanos) {
		if (arrival(forwarding, nowNanos) == Arrival.RETURNING) {
			this.returning.accepted(caller(forwarding));
		}
	}

	private Arrival arrival(Forwarding forwarding, long nowNanos) {
		long elapsedNanos = Millis.toNanos(forwarding.elapsedMillis(nowNanos));
		return this.returning.arrival(caller(forwarding), nowNanos - elapsedNanos);
	}

	private static CallerKey caller(Forwarding forwarding) {
		return new CallerKey(forwarding.policy().workspace(), forwarding.request().fingerprint());
	}

	private double turnMillis(ServiceLimits service, CapacityEstimate estimate, long nowNanos) {
		// The slots that become free are handed out in turn to the callers refused here;
		// the other daemons are assumed to have refused as many.
		double slotMillis = service.engine()
			.map((engine) -> engine.slotMillis() * engine.slots())
			.orElse(CapacityEstimate.CALL_MILLIS) / Math.max(1, estimate.slots());
		return this.returning.expected(nowNanos) * this.state.fleet().daemons() * slotMillis;
	}

	/**
	 * Returns whether an engine may not have admitted a request yet, because more
	 * requests are placed on it than it has slots.
	 * @param forwarding a request that was sent
	 * @return true if it may wait there
	 */
	boolean mayBeQueued(Forwarding forwarding) {
		return this.state.refusesForCapacity() && forwarding.answerBeganNanos().isEmpty()
				&& forwarding.service()
					.engine()
					.filter((engine) -> forwarding.plan().primary().streams() > engine.slots())
					.isPresent();
	}

	// The estimate counts what is placed regardless of its rank, and would refuse the
	// more
	// urgent of two requests as often as the other. With several ranks, only the
	// workspace
	// that uses more than its share is refused.
	private boolean isWithinShare(Forwarding forwarding, PlacementPlan plan) {
		return forwarding.rank().active() && !this.sharing.yields(forwarding, plan);
	}

	private static boolean hasRoom(Forwarding forwarding, PlacementPlan plan, long nowNanos) {
		int slots = forwarding.service().engine().map(EngineModel::slots).orElse(plan.primary().instance().slots());
		return plan.primary().running() < slots && forwarding.elapsedMillis(nowNanos)
				+ plan.firstTokenMillis() <= forwarding.route().targetLatencyMillis();
	}

	private static LogDecision logEstimate(Forwarding forwarding, CapacityEstimate estimate, boolean returns,
			long nowNanos) {
		return new LogDecision("no-capacity", forwarding.request().id().value(), forwarding.request().callerAttempt(),
				"", estimate.queuesFull() ? "queues full" : "no time",
				List.of(DecisionInput.of("wait_ms", Math.round(estimate.waitMillis())),
						DecisionInput.of("first_token_ms", Math.round(estimate.firstTokenMillis())),
						DecisionInput.of("completion_ms", Math.round(estimate.completionMillis())),
						DecisionInput.of("returns", Boolean.toString(returns)),
						DecisionInput.of("taken_slots", estimate.takenSlots()),
						DecisionInput.of("slots", estimate.slots()),
						DecisionInput.of("elapsed_ms", forwarding.elapsedMillis(nowNanos)),
						DecisionInput.of("left_ms", forwarding.remainingMillis(nowNanos))));
	}

	private CapacityEstimate estimate(Forwarding forwarding, boolean returns, long nowNanos) {
		List<InstanceOccupancy> instances = occupancy(forwarding.service(), nowNanos);
		Optional<EngineModel> engine = forwarding.service().engine();
		Optional<TokenCounts> tokens = forwarding.request().tokens();
		if (engine.isEmpty() || tokens.isEmpty()) {
			return CapacityEstimate.ofCall(instances);
		}
		long promptTokens = tokens.get().promptTokens();
		int maxReaders = EnginePlacement.isSingleRead(engine.get(), promptTokens) ? 1 : EnginePlacement.MAX_HELPERS + 1;
		PromptNeed need = new PromptNeed(promptTokens, answerTokens(forwarding, engine.get(), nowNanos), maxReaders,
				returns ? CapacityEstimate.RETURNING_OVERTAKING : CapacityEstimate.FIRST_OVERTAKING);
		return CapacityEstimate.ofPrompt(engine.get(), need, instances);
	}

	private static long answerTokens(Forwarding forwarding, EngineModel engine, long nowNanos) {
		// A caller that allows little time, and gives no hint, expects a short answer.
		long maxTokens = forwarding.request().tokens().orElseThrow().maxAnswerTokens();
		double allowedTokens = UNHINTED_ANSWER_SHARE * forwarding.remainingMillis(nowNanos) / engine.stepMillis();
		return Math.min(maxTokens,
				forwarding.request()
					.answerTokensHint()
					.orElse(Math.min(engine.meanAnswerTokens(), (long) allowedTokens)));
	}

	private List<InstanceOccupancy> occupancy(ServiceLimits service, long nowNanos) {
		Optional<EngineModel> engine = service.engine();
		return this.state.fleet()
			.accepting(service, nowNanos)
			.stream()
			.map((load) -> new InstanceOccupancy(engine.map(EngineModel::slots).orElse(load.instance().slots()),
					engine.isPresent() ? load.streams() : load.running(), load.backlogMillis(nowNanos),
					load.usedTokens()))
			.toList();
	}

	private long targetLatencyMillis(ServiceLimits service) {
		return this.state.routes()
			.stream()
			.flatMap((routes) -> routes.configuration().routes().stream())
			.filter((route) -> route.shares().stream().anyMatch((share) -> share.service().equals(service.name())))
			.mapToLong(Route::targetLatencyMillis)
			.filter((millis) -> millis > 0)
			.min()
			.orElse(Long.MAX_VALUE);
	}

}
