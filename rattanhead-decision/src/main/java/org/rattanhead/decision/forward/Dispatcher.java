package org.rattanhead.decision.forward;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import org.rattanhead.core.Millis;
import org.rattanhead.core.forward.EngineModel;
import org.rattanhead.core.forward.ForwardCall;
import org.rattanhead.core.forward.Helper;
import org.rattanhead.core.forward.LoadEntry;
import org.rattanhead.core.forward.RouteKind;
import org.rattanhead.core.forward.TokenCounts;
import org.rattanhead.core.request.AttemptId;
import org.rattanhead.decision.rank.EngineRequest;
import org.rattanhead.decision.rank.UrgencyRule;

/**
 * Places requests on instances, sends them, and releases what an attempt occupies.
 */
final class Dispatcher {

	/**
	 * Time to the response of a plain service before an idempotent request is retried.
	 */
	private static final long PLAIN_RESPONSE_TIMEOUT_MILLIS = 350;

	/**
	 * The shortest time to the first token of an engine before the request is retried.
	 */
	private static final long MIN_FIRST_TOKEN_TIMEOUT_MILLIS = 1_200;

	private static final double FIRST_TOKEN_TIMEOUT_FACTOR = 3;

	/** Time for all reservations of one prompt together. */
	private static final long RESERVATION_TIMEOUT_MILLIS = 800;

	private static final TokenCounts NO_TOKENS = new TokenCounts(0, 0);

	/** Prompts that take no longer to read are sent as urgent. */
	private static final long MAX_URGENT_READ_MILLIS = 180;

	private final ForwardState state;

	private final RelayRules relays;

	private final TurnRules turns;

	private final CapacityRules capacity;

	private final FairSharing sharing;

	Dispatcher(ForwardState state, FairSharing sharing) {
		this.state = state;
		this.relays = new RelayRules(state);
		this.turns = new TurnRules(state);
		this.capacity = new CapacityRules(state, sharing, this.turns);
		this.sharing = sharing;
	}

	CapacityRules capacity() {
		return this.capacity;
	}

	OptionalLong retryAfterMillis(Forwarding forwarding, long nowNanos) {
		return this.capacity.retryAfterMillis(forwarding, nowNanos);
	}

	/**
	 * Places a request, then sends it or reserves memory for it. While this daemon does
	 * not reach the instances, passes it on instead.
	 * @param forwarding the request
	 * @param nowNanos the time on the monotonic clock
	 * @param commands receives the resulting commands
	 * @return the result
	 */
	DispatchResult dispatch(Forwarding forwarding, long nowNanos, List<ForwardCommand> commands) {
		return this.relays.passOn(forwarding, nowNanos, commands)
			.orElseGet(() -> place(forwarding, nowNanos, commands));
	}

	private DispatchResult place(Forwarding forwarding, long nowNanos, List<ForwardCommand> commands) {
		Optional<PlacementPlan> found = plan(forwarding, nowNanos);
		if (found.isEmpty()) {
			return this.turns.holdOrRefuse(forwarding, nowNanos, commands);
		}
		PlacementPlan plan = found.get();
		if (deadlineUnreachable(forwarding, nowNanos)) {
			return DispatchResult.TOO_LONG;
		}
		long remainingMillis = remainingMillis(forwarding, nowNanos);
		if (outlastsShutdown(plan, nowNanos)) {
			return DispatchResult.SHUTTING_DOWN;
		}
		Optional<DispatchResult> refusal = this.capacity.refusal(forwarding, plan, nowNanos, commands);
		if (refusal.isPresent()) {
			return refusal.get();
		}
		if (HoldRule.holds(forwarding, plan, remainingMillis, nowNanos)) {
			forwarding.hold();
			return DispatchResult.HELD;
		}
		AttemptId attempt = forwarding.nextAttempt();
		List<LoadEntry> load = load(forwarding, plan, attempt, nowNanos);
		this.capacity.placed(forwarding, nowNanos);
		forwarding.begin(plan, load);
		load.forEach((entry) -> this.state.fleet().place(this.state.self(), entry, nowNanos));
		commands.add(new PublishLoadStarted(load));
		commands.add(logPlacement(forwarding, plan, nowNanos));
		if (plan.reserves()) {
			forwarding.stage(ForwardStage.RESERVING, deadlineAfter(nowNanos, RESERVATION_TIMEOUT_MILLIS));
			this.state.tickets().reserve(plan.tickets(attempt), nowNanos, commands);
		}
		else {
			send(forwarding, nowNanos, commands);
		}
		return DispatchResult.PLACED;
	}

	/**
	 * Returns whether an instance other than the current one accepts the request. One
	 * that failed recently counts, since the request fails otherwise, and one whose turn
	 * comes in time.
	 * @param forwarding the request
	 * @param nowNanos the time on the monotonic clock
	 * @return true if there is one
	 */
	boolean hasAlternative(Forwarding forwarding, long nowNanos) {
		return this.state.fleet()
			.hasOther(forwarding.service(), forwarding.excluded(), forwarding.plan().primary(), nowNanos)
				|| this.turns.alternativeInTime(forwarding, nowNanos);
	}

	void send(Forwarding forwarding, long nowNanos, List<ForwardCommand> commands) {
		PlacementPlan plan = forwarding.plan();
		List<Helper> helpers = new ArrayList<>();
		for (PlannedHelper helper : plan.helpers()) {
			String ticket = (helper.reservedTokens() > 0) ? helper.ticketName(forwarding.attempt()) : "";
			helpers.add(new Helper(helper.load().instance().address(), ticket));
		}
		Optional<String> resumeAfter = forwarding.relay().lastEventId().or(forwarding.request()::lastEventId);
		boolean repeated = forwarding.recordCall(plan.primary().instance().id());
		// On a kept connection, a late copy of the instance's earlier refusal would bear
		// the
		// id of this attempt.
		boolean freshConnection = repeated || forwarding.route().kind() == RouteKind.AT_MOST_ONCE;
		ForwardCall call = new ForwardCall(forwarding.attempt(), forwarding.request(), plan.primary().instance(),
				forwarding.policy().workspace(), forwarding.remainingMillis(nowNanos), urgency(forwarding, nowNanos),
				helpers, resumeAfter, freshConnection);
		forwarding.mayHaveRun();
		forwarding.stage(ForwardStage.SENT, responseDeadline(forwarding, nowNanos));
		forwarding.markSent(nowNanos);
		plan.primary().sent(nowNanos);
		if (!forwarding.deferred()) {
			plan.primary().responseTimes().sent(plan.firstTokenMillis(), nowNanos);
		}
		commands.add(new CallInstance(call, ConnectTimeout.millis(call.remainingMillis())));
	}

	/**
	 * Removes the load of the current attempt and releases its reservations.
	 * @param forwarding the request
	 * @param nowNanos the time on the monotonic clock
	 * @param commands receives the resulting commands
	 */
	void releaseAttempt(Forwarding forwarding, long nowNanos, List<ForwardCommand> commands) {
		if (forwarding.load().isEmpty()) {
			return;
		}
		List<String> keys = forwarding.load().stream().map(LoadEntry::key).toList();
		keys.forEach((key) -> this.state.fleet().remove(this.state.self(), key, nowNanos));
		commands.add(new PublishLoadEnded(keys));
		this.state.tickets().release(forwarding.attempt(), nowNanos, commands);
	}

	/**
	 * Returns whether the answer would be cut off by the end of a shutdown.
	 * @param plan where the request would be sent
	 * @param nowNanos the time on the monotonic clock
	 * @return true if it would
	 */
	private boolean outlastsShutdown(PlacementPlan plan, long nowNanos) {
		OptionalLong shutdownMillis = this.state.remainingMillis(nowNanos);
		return shutdownMillis.isPresent() && plan.partMillis() > 0
				&& plan.firstTokenMillis() + HoldRule.ANSWER_MILLIS > shutdownMillis.getAsLong();
	}

	private long remainingMillis(Forwarding forwarding, long nowNanos) {
		return Math.min(forwarding.remainingMillis(nowNanos),
				this.state.remainingMillis(nowNanos).orElse(Long.MAX_VALUE));
	}

	private boolean deadlineUnreachable(Forwarding forwarding, long nowNanos) {
		Optional<EngineModel> engine = forwarding.service().engine();
		long promptTokens = forwarding.request().tokens().orElse(NO_TOKENS).promptTokens();
		return engine.isPresent() && EnginePlacement.leastReadMillis(engine.get(), promptTokens,
				this.state.fleet().accepting(forwarding.service(), nowNanos).size()) >= forwarding
					.remainingMillis(nowNanos);
	}

	private Optional<PlacementPlan> plan(Forwarding forwarding, long nowNanos) {
		TokenCounts tokens = forwarding.request().tokens().orElse(NO_TOKENS);
		boolean engine = forwarding.service().engine().isPresent() && tokens.promptTokens() > 0;
		long usual = forwarding.service().engine().map((model) -> model.meanAnswerTokens()).orElse(0L);
		long expected = Math.min(Math.max(1, tokens.maxAnswerTokens()),
				forwarding.request().answerTokensHint().orElse(usual));
		boolean settled = this.state.fleet().settled(nowNanos);
		PlacementQuery query = new PlacementQuery(forwarding.route(), forwarding.service().engine(), tokens, expected,
				forwarding.elapsedMillis(nowNanos), settled, forwarding.rank().weight(), InstanceLoad::streams, false);
		InstancePlacement placement = engine ? EnginePlacement::place : ServicePlacement::place;
		boolean split = engine
				&& !EnginePlacement.isSingleRead(forwarding.service().engine().get(), tokens.promptTokens());
		List<InstanceLoad> candidates = this.turns.select(forwarding, split,
				this.state.fleet().candidates(forwarding.service(), forwarding.excluded(), nowNanos), nowNanos);
		if (this.state.fleet().even()) {
			return new EvenPlacement(this.state.fleet(), forwarding.service(), this.state.random()).place(query,
					candidates, nowNanos);
		}
		if (!settled && !candidates.isEmpty()) {
			Collections.rotate(candidates, this.state.random().nextInt(candidates.size()));
		}
		return placement.place(query, candidates, nowNanos);
	}

	private List<LoadEntry> load(Forwarding forwarding, PlacementPlan plan, AttemptId attempt, long nowNanos) {
		long remainingMillis = forwarding.remainingMillis(nowNanos);
		long gapMillis = (forwarding.route().kind() == RouteKind.STREAM) ? forwarding.route().targetGapMillis() : 0;
		List<LoadEntry> load = new ArrayList<>();
		load.add(new LoadEntry(attempt.toString(), plan.primary().instance().id(), plan.primaryMemoryTokens(),
				plan.partMillis(), gapMillis, forwarding.worth(), remainingMillis,
				this.capacity.deferred(forwarding, late(forwarding, plan, nowNanos), nowNanos),
				forwarding.policy().workspaceHash()));
		for (PlannedHelper helper : plan.helpers()) {
			load.add(new LoadEntry(helper.ticketName(attempt), helper.load().instance().id(), helper.reservedTokens(),
					plan.partMillis(), 0, 0, remainingMillis));
		}
		return load;
	}

	private boolean late(Forwarding forwarding, PlacementPlan plan, long nowNanos) {
		return forwarding.service().engine().isPresent() && urgent(plan)
				&& (forwarding.elapsedMillis(nowNanos) + plan.firstTokenMillis() > forwarding.route()
					.targetLatencyMillis() || this.sharing.yields(forwarding, plan));
	}

	private static boolean urgent(PlacementPlan plan) {
		return plan.partMillis() <= MAX_URGENT_READ_MILLIS && plan.helpers().isEmpty();
	}

	private int urgency(Forwarding forwarding, long nowNanos) {
		double elapsedMillis = forwarding.elapsedMillis(nowNanos);
		double waitedShare = elapsedMillis / Math.max(1, elapsedMillis + forwarding.remainingMillis(nowNanos));
		UrgencyRule rule = forwarding.service().engine().isPresent() ? UrgencyRule.of(forwarding.rank())
				: UrgencyRule.UNRANKED;
		return rule.urgency(new EngineRequest(forwarding.rank(), urgent(forwarding.plan()), forwarding.deferred(),
				this.sharing.yields(forwarding, forwarding.plan()), waitedShare));
	}

	private static long responseDeadline(Forwarding forwarding, long nowNanos) {
		if (!forwarding.route().repeatable()) {
			return Long.MAX_VALUE;
		}
		if (forwarding.service().engine().isEmpty()) {
			return deadlineAfter(nowNanos, PLAIN_RESPONSE_TIMEOUT_MILLIS);
		}
		return deadlineAfter(nowNanos, MIN_FIRST_TOKEN_TIMEOUT_MILLIS
				+ Math.round(FIRST_TOKEN_TIMEOUT_FACTOR * forwarding.plan().firstTokenMillis()));
	}

	private LogDecision logPlacement(Forwarding forwarding, PlacementPlan plan, long nowNanos) {
		List<DecisionInput> inputs = new ArrayList<>(List.of(DecisionInput.of("attempt", forwarding.attempts()),
				DecisionInput.of("prompt_tokens", forwarding.request().tokens().orElse(NO_TOKENS).promptTokens()),
				DecisionInput.of("helpers", plan.helpers().size()),
				DecisionInput.of("predicted_ms", Math.round(plan.firstTokenMillis())),
				DecisionInput.of("backlog_ms", Math.round(plan.primary().backlogMillis(nowNanos))),
				DecisionInput.of("running", plan.primary().running()),
				DecisionInput.of("left_ms", forwarding.remainingMillis(nowNanos))));
		inputs.addAll(AttemptLog.rank(forwarding));
		if (plan.candidates() > 0) {
			inputs.add(DecisionInput.of("view_age_ms", plan.viewAgeMillis()));
			inputs.add(DecisionInput.of("candidates", plan.candidates()));
		}
		if (forwarding.rank().active()) {
			inputs.add(DecisionInput.of("urgency", urgency(forwarding, nowNanos)));
		}
		return new LogDecision("place", forwarding.request().id().value(), forwarding.request().callerAttempt(),
				plan.primary().instance().id(), plan.reserves() ? "reserving" : "sent", inputs);
	}

	private static long deadlineAfter(long nowNanos, long millis) {
		return nowNanos + Millis.toNanos(millis);
	}

}
