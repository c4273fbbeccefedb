package org.rattanhead.decision.forward;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.BiPredicate;

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

	private static final long STORE_RETRY_MILLIS = 500;

	/** The time until the daemons have read a new record. */
	private static final long STORE_READ_MILLIS = 2_000;

	private static final long PROMPT_TOKENS = 1_500;

	private final VirtualSchedule schedule = new VirtualSchedule();

	private final FleetResults results = new FleetResults();

	private final Map<String, ForwardDecider> daemons = new TreeMap<>();

	private final Map<AttemptId, String> engineByAttempt = new HashMap<>();

	private final Map<String, UpstreamInstance> engines = new TreeMap<>();

	private final Set<String> downEngines = new HashSet<>();

	private final Set<Long> storedSuspects = new TreeSet<>();

	private final Random random;

	private final int eventsBeforeCrash;

	private BiPredicate<String, String> connected = (sender, receiver) -> true;

	private boolean storeAvailable = true;

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
		if (this.storeAvailable) {
			handle(host, new StoredSuspectsChanged(List.copyOf(this.storedSuspects), List.of()));
		}
	}

	/**
	 * Limits which daemons receive datagrams of each other.
	 * @param newConnected tests a sender and a receiver
	 */
	void connect(BiPredicate<String, String> newConnected) {
		this.connected = newConnected;
	}

	void setStoreAvailable(boolean available) {
		this.storeAvailable = available;
	}

	List<String> hosts() {
		return List.copyOf(this.daemons.keySet());
	}

	long nowMillis() {
		return this.schedule.nowMillis();
	}

	/**
	 * Submits a prompt to a random daemon.
	 * @param sharedParts the parts that other prompts share
	 * @return the id of the request
	 */
	RequestId submit(List<Long> sharedParts) {
		String host = hosts().get(this.random.nextInt(this.daemons.size()));
		RequestId id = new RequestId(host + "-" + this.results.submittedCount());
		this.results.submitted(id, new FleetRequest(nowMillis(), host, sharedParts.contains(FATAL_PART)));
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
		long endMillis = nowMillis() + millis;
		while (nowMillis() < endMillis) {
			this.schedule.advance(STEP_MILLIS);
			hosts().forEach((host) -> handle(host, new ForwardTick()));
			if (nowMillis() % HEARTBEAT_MILLIS < STEP_MILLIS) {
				hosts().forEach((host) -> handle(host, new HeartbeatDue()));
			}
		}
	}

	FleetResults results() {
		return this.results;
	}

	private void handle(String host, ForwardEvent event) {
		ForwardDecider daemon = this.daemons.get(host);
		daemon.decide(event, Millis.toNanos(nowMillis())).forEach((command) -> execute(host, daemon, command));
	}

	private void execute(String host, ForwardDecider daemon, ForwardCommand command) {
		if (command instanceof CallInstance call) {
			call(host, daemon, call.call().attempt(), call.call().instance().id());
		}
		else if (command instanceof AbortAttempt abort) {
			this.engineByAttempt.remove(abort.attempt());
		}
		else if (command instanceof PublishHeartbeat heartbeat) {
			sendToOthers(host,
					new PeerHeartbeatReceived(host, heartbeat.load(), heartbeat.crashes(), heartbeat.limits()));
		}
		else if (command instanceof StoreSuspect suspect) {
			store(suspect.suspect());
		}
		else if (command instanceof PublishCrashes crashes) {
			sendToOthers(host, new PeerCrashesReceived(crashes.reports()));
		}
		else if (command instanceof PublishLoadStarted started) {
			sendToOthers(host, new PeerLoadStarted(host, started.entries()));
		}
		else if (command instanceof PublishLoadEnded ended) {
			sendToOthers(host, new PeerLoadEnded(host, ended.keys()));
		}
	}

	private void sendToOthers(String sender, ForwardEvent event) {
		this.schedule.after(1,
				() -> hosts().stream()
					.filter((host) -> !host.equals(sender) && this.connected.test(sender, host))
					.forEach((host) -> handle(host, event)));
	}

	private void store(long suspect) {
		if (!this.storeAvailable) {
			this.schedule.after(STORE_RETRY_MILLIS, () -> store(suspect));
			return;
		}
		this.storedSuspects.add(suspect);
		this.schedule.after(STORE_READ_MILLIS, () -> {
			if (this.storeAvailable) {
				hosts().forEach((host) -> handle(host, new StoredSuspectsChanged(List.of(suspect), List.of())));
			}
		});
	}

	private void call(String host, ForwardDecider daemon, AttemptId attempt, String engine) {
		if (this.downEngines.contains(engine)) {
			this.schedule.after(CONNECTION_REFUSED_MILLIS,
					() -> deliver(host, daemon, new AttemptFailed(attempt, AttemptFault.NOT_SENT, "refused")));
			return;
		}
		this.engineByAttempt.put(attempt, engine);
		this.results.called(attempt, nowMillis());
		this.schedule.after(FIRST_EVENT_MILLIS, () -> begin(host, daemon, attempt, 0));
	}

	private void begin(String host, ForwardDecider daemon, AttemptId attempt, int event) {
		if (!this.engineByAttempt.containsKey(attempt)) {
			return;
		}
		FleetRequest request = this.results.find(attempt);
		if (request.fatal() && event >= this.eventsBeforeCrash) {
			crash(this.engineByAttempt.get(attempt));
			return;
		}
		if (event == 0) {
			this.results.begun(attempt);
			deliver(host, daemon,
					new AttemptAnswered(attempt, new AnswerHead(200, List.of(), AnswerVerdict.RUN, true, true, "")));
		}
		if (event == EVENTS) {
			this.engineByAttempt.remove(attempt);
			deliver(host, daemon, new AttemptFinished(attempt));
			return;
		}
		deliver(host, daemon, new AttemptContinued(attempt, Payload.of("id: " + event + "\ndata: a\n\n")));
		this.schedule.after(EVENT_GAP_MILLIS, () -> begin(host, daemon, attempt, event + 1));
	}

	private void crash(String engine) {
		this.results.crashed(nowMillis());
		this.downEngines.add(engine);
		List<AttemptId> broken = this.engineByAttempt.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().equals(engine))
			.map(Map.Entry::getKey)
			.toList();
		broken.forEach(this.engineByAttempt::remove);
		for (AttemptId attempt : broken) {
			String host = this.results.find(attempt).host();
			deliver(host, this.daemons.get(host), new AttemptFailed(attempt, AttemptFault.BROKEN, "crash"));
		}
		this.schedule.after(DOWN_MILLIS, () -> restart(engine));
	}

	private void restart(String engine) {
		UpstreamInstance before = this.engines.remove(engine);
		String id = "e" + this.engines.size() + "-" + nowMillis();
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

}
