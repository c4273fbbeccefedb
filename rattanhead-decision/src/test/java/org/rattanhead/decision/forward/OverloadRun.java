package org.rattanhead.decision.forward;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.function.LongToDoubleFunction;

import org.rattanhead.core.Payload;
import org.rattanhead.core.forward.EngineModel;
import org.rattanhead.core.forward.ForwardRequest;
import org.rattanhead.core.forward.TokenCounts;
import org.rattanhead.core.request.RequestId;

/**
 * Callers of short prompts and the engines that serve them, around one decider on a
 * virtual clock. Refused callers return while they have time left.
 */
final class OverloadRun {

	static final long DEADLINE_MILLIS = 10_000;

	private static final long STEP_MILLIS = 20;

	private static final long PROMPT_TOKENS = 5_000;

	private static final long MIN_RETURN_MILLIS = 300;

	private static final EngineModel MODEL = ForwardRig.ENGINE;

	private static final double MEAN_ANSWER_MILLIS = MODEL.meanAnswerTokens() * MODEL.stepMillis() * 1.35;

	private final ForwardRig rig;

	private final Map<String, SimulatedEngine> engines = new HashMap<>();

	private final VirtualSchedule schedule = new VirtualSchedule();

	private final Map<RequestId, SimulatedCaller> waiting = new HashMap<>();

	private final List<SimulatedCaller> callers = new ArrayList<>();

	private final Random random = new Random(5);

	private int seenCommands;

	private int tries;

	OverloadRun(int engines) {
		this.rig = ForwardRig.configured(engines, 0);
		for (int index = 0; index < engines; index++) {
			this.engines.put("e" + index, new SimulatedEngine(MODEL));
		}
	}

	/**
	 * Returns the requests per millisecond that the engines complete.
	 * @return the capacity
	 */
	double capacity() {
		double requestMillis = MODEL.readMillis(PROMPT_TOKENS) + MODEL.passMillis() + MEAN_ANSWER_MILLIS;
		return this.engines.size() * MODEL.slots() / requestMillis;
	}

	/**
	 * Runs callers and engines until every caller has been served or has left.
	 * @param millis how long new callers arrive
	 * @param overload the arrivals at a time, as a multiple of the capacity
	 * @param impatientShare the share of the callers that return immediately
	 * @return the callers
	 */
	List<SimulatedCaller> run(long millis, LongToDoubleFunction overload, double impatientShare) {
		double due = 0;
		for (long now = 0; now < millis + DEADLINE_MILLIS + 1_000; now += STEP_MILLIS) {
			due += (now < millis) ? overload.applyAsDouble(now) * capacity() * STEP_MILLIS : 0;
			for (; due >= 1; due--) {
				SimulatedCaller caller = new SimulatedCaller(this.callers.size(), now,
						this.random.nextDouble() < impatientShare);
				this.callers.add(caller);
				submit(caller);
			}
			this.engines.values().forEach((engine) -> engine.advance(this.schedule.nowMillis(), this.rig));
			this.rig.advance(STEP_MILLIS);
			this.schedule.advance(STEP_MILLIS);
			react();
		}
		return this.callers;
	}

	private void submit(SimulatedCaller caller) {
		RequestId id = new RequestId("self-" + this.tries++);
		this.waiting.put(id, caller);
		this.rig.handle(new ForwardSubmitted(new ForwardRequest(id, id.value(), "POST", "host", "/ask/x", "/ask/x",
				List.of(), Payload.of("body"), OptionalLong.of(caller.remainingMillis(this.schedule.nowMillis())),
				Optional.of(ForwardRig.KEY), Optional.of(new TokenCounts(PROMPT_TOKENS, 4_000)), OptionalLong.empty(),
				Optional.empty(), caller.number(), List.of())));
		react();
	}

	private void react() {
		while (this.seenCommands < this.rig.commands.size()) {
			ForwardCommand command = this.rig.commands.get(this.seenCommands++);
			if (command instanceof CallInstance call) {
				double answerMillis = MEAN_ANSWER_MILLIS * (0.4 + 1.2 * this.random.nextDouble());
				this.engines.get(call.call().instance().id()).call(call.call(), answerMillis);
			}
			else if (command instanceof AbortAttempt abort) {
				this.engines.values().forEach((engine) -> engine.abort(abort.attempt()));
			}
			else if (command instanceof BeginReply reply) {
				this.waiting.get(reply.request()).began(this.schedule.nowMillis());
			}
			else if (command instanceof FinishReply reply) {
				this.waiting.remove(reply.request()).served(this.schedule.nowMillis());
			}
			else if (command instanceof RefuseRequest refusal) {
				refused(this.waiting.remove(refusal.request()), refusal);
			}
		}
	}

	private void refused(SimulatedCaller caller, RefuseRequest refusal) {
		long remaining = caller.remainingMillis(this.schedule.nowMillis());
		long wait = caller.refused(refusal.problem().retryAfterMillis(), remaining);
		if (refusal.problem().retryAfterMillis() > 0 && remaining - wait > MIN_RETURN_MILLIS) {
			this.schedule.after(wait, () -> submit(caller));
		}
	}

}
