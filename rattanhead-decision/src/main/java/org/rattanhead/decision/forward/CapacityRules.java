package org.rattanhead.decision.forward;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import org.rattanhead.core.forward.EngineModel;
import org.rattanhead.core.forward.Route;
import org.rattanhead.core.forward.ServiceLimits;
import org.rattanhead.core.forward.TokenCounts;
import org.rattanhead.decision.room.CapacityEstimate;
import org.rattanhead.decision.room.InstanceOccupancy;
import org.rattanhead.decision.room.PromptNeed;
import org.rattanhead.decision.room.RetrySchedule;

/**
 * Decides by the capacity of a service when a refused caller returns.
 */
final class CapacityRules {

	/** The mean length of short prompts in the deployments. */
	private static final PromptNeed SHORT_PROMPT = new PromptNeed(5_000, 0, 1, false);

	/** The largest share of the remaining time that an answer is assumed to take. */
	private static final double UNHINTED_ANSWER_SHARE = 0.25;

	private final ForwardState state;

	private final RetrySchedule schedule;

	CapacityRules(ForwardState state) {
		this.state = state;
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
		List<InstanceOccupancy> instances = occupancy(service, nowNanos);
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
		OptionalLong quietMillis = this.state.fleet().quietMillis(forwarding.service(), nowNanos);
		if (quietMillis.isPresent() || !shortage(forwarding.service(), nowNanos)) {
			return quietMillis;
		}
		double waitMillis = estimate(forwarding, nowNanos).waitMillis();
		return OptionalLong.of(this.schedule.retryAfterMillis(waitMillis, forwarding.remainingMillis(nowNanos)));
	}

	private CapacityEstimate estimate(Forwarding forwarding, long nowNanos) {
		List<InstanceOccupancy> instances = occupancy(forwarding.service(), nowNanos);
		Optional<EngineModel> engine = forwarding.service().engine();
		Optional<TokenCounts> tokens = forwarding.request().tokens();
		if (engine.isEmpty() || tokens.isEmpty()) {
			return CapacityEstimate.ofCall(instances);
		}
		long promptTokens = tokens.get().promptTokens();
		int maxReaders = EnginePlacement.isSingleRead(engine.get(), promptTokens) ? 1 : EnginePlacement.MAX_HELPERS + 1;
		PromptNeed need = new PromptNeed(promptTokens, answerTokens(forwarding, engine.get(), nowNanos), maxReaders,
				false);
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
					engine.isPresent() ? load.streams() : load.running(), load.deferred(), load.backlogMillis(nowNanos),
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
