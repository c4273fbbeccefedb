package org.rattanhead.decision.forward;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;

import org.rattanhead.core.Millis;
import org.rattanhead.core.Payload;
import org.rattanhead.core.forward.AnswerHead;
import org.rattanhead.core.forward.AnswerVerdict;
import org.rattanhead.core.forward.AttemptFault;
import org.rattanhead.core.forward.ForwardRequest;
import org.rattanhead.core.forward.TokenCounts;
import org.rattanhead.core.forward.UpstreamInstance;
import org.rattanhead.core.request.AttemptId;
import org.rattanhead.core.request.RequestId;

/**
 * Several daemons on a virtual clock, before engines that crash when they begin to write
 * an answer to a prompt with a fatal part. A crash breaks all attempts on the engine; the
 * engine returns as a new incarnation.
 */
final class CrashingFleet {

	static final long FATAL_PART = 0x57dc7b54a0edL;

	private static final long STEP_MILLIS = 20;

	private static final long HEARTBEAT_MILLIS = 700;

	private static final long FIRST_EVENT_MILLIS = 60;

	private static final long EVENT_GAP_MILLIS = 60;

	private static final int EVENTS = 20;

	private static final long DOWN_MILLIS = 3_500;

	private static final long CONNECTION_REFUSED_MILLIS = 2;

	private static final long PROMPT_TOKENS = 1_500;

	private final Map<String, ForwardDecider> daemons = new TreeMap<>();

	private final PriorityQueue<ScheduledStep> steps = new PriorityQueue<>();

	private final Map<AttemptId, String> engineByAttempt = new HashMap<>();

	private final Map<RequestId, FleetRequest> requests = new HashMap<>();

	private final Map<String, UpstreamInstance> engines = new TreeMap<>();

	private final Set<String> downEngines = new HashSet<>();

	private final List<Long> crashMillis = new ArrayList<>();

	private final List<Long> fatalCallMillis = new ArrayList<>();

	private final Set<RequestId> begunAtFirstAttempt = new HashSet<>();

	private final Random random;

	private final int eventsBeforeCrash;

	private long nowMillis;

	private long stepCount;

	CrashingFleet(int daemons, int engines, int eventsBeforeCrash, long seed) {
		this.random = new Random(seed);
		this.eventsBeforeCrash = eventsBeforeCrash;
		for (int index = 0; index < engines; index++) {
			String id = "e" + index;
			this.engines.put(id, ForwardRig.instance(id, ForwardRig.ENGINES, index, false));
		}
		for (int index = 0; index < daemons; index++) {
			start("d" + index);
		}
		this.daemons.keySet().forEach((host) -> handle(host, new PeerCountChanged(daemons)));
	}

	/**
	 * Starts a daemon, or starts it again without its state.
	 * @param host its host
	 */
	void start(String host) {
		this.daemons.put(host, new ForwardDecider(host, new ForwardLimits(0.2, 100, 10_000, 20_000),
				new Random(this.random.nextInt())));
		handle(host, new ConfigurationApplied(ForwardRig.configuration(1)));
		handle(host, new InstancesChanged(List.copyOf(this.engines.values())));
	}

	List<String> hosts() {
		return List.copyOf(this.daemons.keySet());
	}

	long nowMillis() {
		return this.nowMillis;
	}

	/**
	 * Submits a prompt to a random daemon.
	 * @param sharedParts the parts that other prompts share
	 * @return the id of the request
	 */
	RequestId submit(List<Long> sharedParts) {
		String host = hosts().get(this.random.nextInt(this.daemons.size()));
		RequestId id = new RequestId(host + "-" + this.requests.size());
		this.requests.put(id, new FleetRequest(this.nowMillis, host, sharedParts.contains(FATAL_PART)));
		handle(host,
				new ForwardSubmitted(new ForwardRequest(id, id.value(), "POST", "host", "/ask/x", "/ask/x", List.of(),
						Payload.of("body"), OptionalLong.of(8_000), Optional.of(ForwardRig.KEY),
						Optional.of(new TokenCounts(PROMPT_TOKENS, 2_000)), OptionalLong.empty(), Optional.empty(),
						this.random.nextLong(), sharedParts)));
		return id;
	}

	/**
	 * Lets time pass.
	 * @param millis the time, in milliseconds
	 */
	void advance(long millis) {
		long endMillis = this.nowMillis + millis;
		while (this.nowMillis < endMillis) {
			this.nowMillis += STEP_MILLIS;
			while (!this.steps.isEmpty() && this.steps.peek().atMillis() <= this.nowMillis) {
				this.steps.poll().action().run();
			}
			hosts().forEach((host) -> handle(host, new ForwardTick()));
			if (this.nowMillis % HEARTBEAT_MILLIS < STEP_MILLIS) {
				hosts().forEach((host) -> handle(host, new HeartbeatDue()));
			}
		}
	}

	/**
	 * Returns when an engine crashed for the given time.
	 * @param number the number of the crash, from 1
	 * @return the time in milliseconds, empty if there were fewer
	 */
	OptionalLong crashMillis(int number) {
		return (this.crashMillis.size() < number) ? OptionalLong.empty()
				: OptionalLong.of(this.crashMillis.get(number - 1));
	}

	/**
	 * Counts the prompts with the fatal part that reached an engine.
	 * @param afterMillis the time after which they count, in milliseconds
	 * @return the number
	 */
	long fatalCalls(long afterMillis) {
		return this.fatalCallMillis.stream().filter((at) -> at > afterMillis).count();
	}

	/**
	 * Returns how many of the prompts without the fatal part an engine began to answer at
	 * the first attempt.
	 * @param fromMillis the start of the time in which they arrived, in milliseconds
	 * @param toMillis the end of that time, in milliseconds
	 * @return the share, 1 if there were none
	 */
	double begunShare(long fromMillis, long toMillis) {
		List<RequestId> sound = this.requests.entrySet()
			.stream()
			.filter((entry) -> !entry.getValue().fatal() && entry.getValue().atMillis() >= fromMillis
					&& entry.getValue().atMillis() < toMillis)
			.map(Map.Entry::getKey)
			.toList();
		return sound.isEmpty() ? 1
				: sound.stream().filter(this.begunAtFirstAttempt::contains).count() / (double) sound.size();
	}

	private void handle(String host, ForwardEvent event) {
		ForwardDecider daemon = this.daemons.get(host);
		daemon.decide(event, Millis.toNanos(this.nowMillis)).forEach((command) -> execute(host, daemon, command));
	}

	private void execute(String host, ForwardDecider daemon, ForwardCommand command) {
		if (command instanceof CallInstance call) {
			call(host, daemon, call.call().attempt(), call.call().instance().id());
		}
		else if (command instanceof AbortAttempt abort) {
			this.engineByAttempt.remove(abort.attempt());
		}
		else if (command instanceof PublishHeartbeat heartbeat) {
			sendToOthers(host, new PeerHeartbeatReceived(host, heartbeat.load(), heartbeat.crashes()));
		}
		else if (command instanceof PublishLoadStarted started) {
			sendToOthers(host, new PeerLoadStarted(host, started.entries()));
		}
		else if (command instanceof PublishLoadEnded ended) {
			sendToOthers(host, new PeerLoadEnded(host, ended.keys()));
		}
	}

	private void sendToOthers(String sender, ForwardEvent event) {
		schedule(1,
				() -> hosts().stream().filter((host) -> !host.equals(sender)).forEach((host) -> handle(host, event)));
	}

	private void call(String host, ForwardDecider daemon, AttemptId attempt, String engine) {
		FleetRequest request = this.requests.get(attempt.request());
		if (this.downEngines.contains(engine)) {
			schedule(CONNECTION_REFUSED_MILLIS,
					() -> deliver(host, daemon, new AttemptFailed(attempt, AttemptFault.NOT_SENT, "refused")));
			return;
		}
		this.engineByAttempt.put(attempt, engine);
		if (request.fatal()) {
			this.fatalCallMillis.add(this.nowMillis);
		}
		schedule(FIRST_EVENT_MILLIS, () -> begin(host, daemon, attempt, 0));
	}

	private void begin(String host, ForwardDecider daemon, AttemptId attempt, int event) {
		if (!this.engineByAttempt.containsKey(attempt)) {
			return;
		}
		FleetRequest request = this.requests.get(attempt.request());
		if (request.fatal() && event >= this.eventsBeforeCrash) {
			crash(this.engineByAttempt.get(attempt));
			return;
		}
		if (event == 0) {
			if (attempt.number() == 1) {
				this.begunAtFirstAttempt.add(attempt.request());
			}
			deliver(host, daemon,
					new AttemptAnswered(attempt, new AnswerHead(200, List.of(), AnswerVerdict.RUN, true, "")));
		}
		if (event == EVENTS) {
			this.engineByAttempt.remove(attempt);
			deliver(host, daemon, new AttemptFinished(attempt));
			return;
		}
		deliver(host, daemon, new AttemptContinued(attempt, Payload.of("id: " + event + "\ndata: a\n\n")));
		schedule(EVENT_GAP_MILLIS, () -> begin(host, daemon, attempt, event + 1));
	}

	private void crash(String engine) {
		this.crashMillis.add(this.nowMillis);
		this.downEngines.add(engine);
		List<AttemptId> broken = this.engineByAttempt.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().equals(engine))
			.map(Map.Entry::getKey)
			.toList();
		broken.forEach(this.engineByAttempt::remove);
		for (AttemptId attempt : broken) {
			String host = this.requests.get(attempt.request()).host();
			deliver(host, this.daemons.get(host), new AttemptFailed(attempt, AttemptFault.BROKEN, "crash"));
		}
		schedule(DOWN_MILLIS, () -> restart(engine));
	}

	private void restart(String engine) {
		UpstreamInstance before = this.engines.remove(engine);
		String id = "e" + this.engines.size() + "-" + this.nowMillis;
		this.downEngines.remove(engine);
		this.engines.put(id, new UpstreamInstance(id, before.service(), before.address(), before.failureDomain(),
				before.slots(), false, 0, before.incarnation() + 1));
		hosts().forEach((host) -> handle(host, new InstancesChanged(List.copyOf(this.engines.values()))));
	}

	private void deliver(String host, ForwardDecider daemon, ForwardEvent event) {
		if (this.daemons.get(host) == daemon) {
			handle(host, event);
		}
	}

	private void schedule(long delayMillis, Runnable action) {
		this.stepCount++;
		this.steps.add(new ScheduledStep(this.nowMillis + delayMillis, this.stepCount, action));
	}

}
