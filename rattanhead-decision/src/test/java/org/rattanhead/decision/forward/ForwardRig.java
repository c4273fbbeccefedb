package org.rattanhead.decision.forward;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;

import org.rattanhead.core.HttpField;
import org.rattanhead.core.Millis;
import org.rattanhead.core.Payload;
import org.rattanhead.core.forward.AnswerHead;
import org.rattanhead.core.forward.AnswerVerdict;
import org.rattanhead.core.forward.AttemptFault;
import org.rattanhead.core.forward.Configuration;
import org.rattanhead.core.forward.EngineModel;
import org.rattanhead.core.forward.ForwardRequest;
import org.rattanhead.core.forward.Route;
import org.rattanhead.core.forward.RouteKind;
import org.rattanhead.core.forward.ServiceLimits;
import org.rattanhead.core.forward.ServiceShare;
import org.rattanhead.core.forward.TokenCounts;
import org.rattanhead.core.forward.UpstreamInstance;
import org.rattanhead.core.forward.WorkspaceGrant;
import org.rattanhead.core.request.AttemptId;
import org.rattanhead.core.request.RequestId;

/**
 * Drives a decider on a virtual clock with a small fleet.
 */
final class ForwardRig {

	static final EngineModel ENGINE = new EngineModel(11, 405_000, 34, 1.31, 154, 0.162, 1_266);

	private static final long SETTLING_MILLIS = 2_000;

	static final String KEY = "key";

	static final String ENGINES = "engines";

	static final String ORDERS = "orders";

	final ForwardDecider decider;

	final List<ForwardCommand> commands = new ArrayList<>();

	private long nowMillis = 1_000;

	private int requests;

	private long receivedBytes;

	ForwardRig() {
		this(new ForwardLimits(0.2, 100, 10_000, 20_000, 17, 1));
	}

	ForwardRig(ForwardLimits limits) {
		this(limits, 1);
	}

	private ForwardRig(ForwardLimits limits, long seed) {
		this(limits, Long.MAX_VALUE, seed);
	}

	private ForwardRig(ForwardLimits limits, long replyBytes, long seed) {
		this.decider = new ForwardDecider("self", limits, replyBytes, new Random(seed));
	}

	/**
	 * Creates a rig that has just started and knows nothing of other daemons' work.
	 * @param engines the number of engines
	 * @param seed the seed of its random generator
	 * @return the rig
	 */
	static ForwardRig started(int engines, long seed) {
		ForwardRig rig = new ForwardRig(new ForwardLimits(0.2, 100, 10_000, 20_000, 17, 1), seed);
		rig.handle(new ConfigurationApplied(configuration(1)));
		rig.handle(new InstancesChanged(instances(engines, 0)));
		return rig;
	}

	static ForwardRig configured(int engines, int orders) {
		return configured(engines, orders, Long.MAX_VALUE);
	}

	/**
	 * Creates a rig that holds a bounded number of bytes of unfinished answers.
	 * @param engines the number of engines
	 * @param orders the number of other instances
	 * @param replyBytes the number of bytes
	 * @return the rig
	 */
	static ForwardRig configured(int engines, int orders, long replyBytes) {
		ForwardRig rig = new ForwardRig(new ForwardLimits(0.2, 100, 10_000, 20_000, 17, 1), replyBytes, 1);
		rig.handle(new ConfigurationApplied(configuration(1)));
		rig.handle(new InstancesChanged(instances(engines, orders)));
		return rig.advance(SETTLING_MILLIS);
	}

	static Configuration configuration(long version) {
		List<Route> routes = List.of(route("/ask/", RouteKind.STREAM, ENGINES, 2),
				new Route("host", "/long/", RouteKind.STREAM, List.of(new ServiceShare(ENGINES, 1)), 2, 10_000, 3_000,
						1_000, 1, false, true),
				route("/order/", RouteKind.AT_MOST_ONCE, ORDERS, 3), route("/look/", RouteKind.IDEMPOTENT, ORDERS, 2));
		Map<String, ServiceLimits> services = Map.of(ENGINES, new ServiceLimits(ENGINES, 36, Optional.of(ENGINE)),
				ORDERS, new ServiceLimits(ORDERS, 0, Optional.empty()));
		return new Configuration(version, routes, services, true, Map.of(KEY, new WorkspaceGrant("atelier", 1)), 16_384,
				4_096);
	}

	static Route route(String prefix, RouteKind kind, String service, int attempts) {
		return new Route("host", prefix, kind, List.of(new ServiceShare(service, 1)), attempts, 10_000, 300,
				(kind == RouteKind.STREAM) ? 250 : 0, 1, false, kind == RouteKind.STREAM);
	}

	static List<UpstreamInstance> instances(int engines, int orders) {
		List<UpstreamInstance> instances = new ArrayList<>();
		for (int index = 0; index < engines; index++) {
			instances.add(instance("e" + index, ENGINES, index, false));
		}
		for (int index = 0; index < orders; index++) {
			instances.add(instance("o" + index, ORDERS, index, false));
		}
		return instances;
	}

	static UpstreamInstance instance(String id, String service, int index, boolean draining) {
		return new UpstreamInstance(id, service, "10.0." + service.length() + "." + index + ":80",
				"domain-" + index % 3, 11, draining, 0, 1);
	}

	List<ForwardCommand> handle(ForwardEvent event) {
		List<ForwardCommand> now = this.decider.decide(event, Millis.toNanos(this.nowMillis));
		this.commands.addAll(now);
		return now;
	}

	ForwardRig advance(long millis) {
		for (long remaining = millis; remaining > 0; remaining -= 20) {
			this.nowMillis += Math.min(20, remaining);
			handle(new ForwardTick());
		}
		return this;
	}

	long nanosIn(long millis) {
		return Millis.toNanos(this.nowMillis + millis);
	}

	RequestId submit(String path) {
		return submit(path, 0, KEY, 7);
	}

	RequestId submit(String path, long promptTokens, String key, long fingerprint) {
		return submit(path, promptTokens, key, fingerprint, List.of());
	}

	RequestId submit(String path, long promptTokens, String key, long fingerprint, List<Long> sharedParts) {
		return submit(path, promptTokens, key, fingerprint, sharedParts, 8_000, false);
	}

	RequestId submitWithin(String path, long deadlineMillis) {
		return submit(path, 0, KEY, 7, List.of(), deadlineMillis, false);
	}

	RequestId submitViaPeer(String path) {
		return submit(path, 0, KEY, 7, List.of(), 8_000, true);
	}

	private RequestId submit(String path, long promptTokens, String key, long fingerprint, List<Long> sharedParts,
			long deadlineMillis, boolean viaPeer) {
		this.requests++;
		RequestId id = new RequestId("self-" + this.requests);
		handle(new ForwardSubmitted(new ForwardRequest(id, "a" + this.requests, "POST", "host", path + "x", path + "x",
				List.of(), Payload.of("body"), OptionalLong.of(deadlineMillis),
				Optional.of(key).filter((text) -> !text.isEmpty()),
				(promptTokens > 0) ? Optional.of(new TokenCounts(promptTokens, 2_000)) : Optional.empty(),
				OptionalLong.empty(), Optional.empty(), fingerprint, sharedParts), viaPeer));
		return id;
	}

	<T extends ForwardCommand> List<T> all(Class<T> type) {
		return this.commands.stream().filter(type::isInstance).map(type::cast).toList();
	}

	<T extends ForwardCommand> T last(Class<T> type) {
		List<T> found = all(type);
		return found.get(found.size() - 1);
	}

	CallInstance lastCall() {
		return last(CallInstance.class);
	}

	AttemptId lastAttempt() {
		return lastCall().call().attempt();
	}

	void answer(AttemptId attempt, int status, AnswerVerdict verdict, boolean streamed) {
		handle(new AttemptAnswered(attempt,
				new AnswerHead(status, List.of(new HttpField("Kept", "yes")), verdict, streamed, true, "")));
	}

	List<ForwardCommand> bytes(AttemptId attempt, String text) {
		this.receivedBytes += text.length();
		return handle(new AttemptContinued(attempt, Payload.of(text)));
	}

	/**
	 * Returns the bytes of all answers that instances have sent.
	 * @return the number of bytes
	 */
	long receivedBytes() {
		return this.receivedBytes;
	}

	/**
	 * Sends the head and the first event of a stream, which goes on.
	 * @param attempt the attempt
	 */
	void startAnswer(AttemptId attempt) {
		answer(attempt, 200, AnswerVerdict.RUN, true);
		bytes(attempt, "id: 1\ndata: a\n\n");
	}

	void finish(AttemptId attempt) {
		handle(new AttemptFinished(attempt));
	}

	void failAttempt(AttemptId attempt, AttemptFault fault) {
		handle(new AttemptFailed(attempt, fault, "test"));
	}

	String replied() {
		StringBuilder text = new StringBuilder();
		all(ContinueReply.class).forEach((part) -> text.append(part.bytes().text()));
		return text.toString();
	}

}
