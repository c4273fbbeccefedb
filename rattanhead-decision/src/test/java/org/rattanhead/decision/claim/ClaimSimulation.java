package org.rattanhead.decision.claim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;

import org.rattanhead.core.Payload;
import org.rattanhead.core.host.Host;
import org.rattanhead.core.problem.Execution;
import org.rattanhead.core.problem.Problem;
import org.rattanhead.core.problem.ProblemKind;
import org.rattanhead.core.request.RequestId;
import org.rattanhead.core.request.Work;
import org.rattanhead.core.work.SubmitWork;
import org.rattanhead.core.work.WorkChunk;
import org.rattanhead.core.work.WorkEnded;
import org.rattanhead.core.work.WorkFailed;
import org.rattanhead.core.work.WorkSignal;
import org.rattanhead.core.work.WorkStarted;
import org.rattanhead.decision.Fixtures;
import org.rattanhead.decision.edge.RequestSubmitted;
import org.rattanhead.decision.edge.SendProblem;
import org.rattanhead.decision.edge.SignalReceived;
import org.rattanhead.decision.edge.WriteAnswer;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Simulation of daemons, logs and an upstream on a virtual clock. The upstream's count of
 * the runs of each key is the test oracle.
 */
final class ClaimSimulation {

	private static final int KEYS = 3;

	private static final int MAX_DELAY_MILLIS = 60;

	private static final long TICK_NANOS = 50 * Fixtures.MILLI;

	private final Random random;

	private final ClaimFaults faults;

	private final PriorityQueue<ScheduledAction> actions = new PriorityQueue<>();

	private final Map<Integer, FakeLog> logs = new HashMap<>();

	private final List<SimulatedDaemon> daemons = new ArrayList<>();

	private final Map<String, Integer> runs = new HashMap<>();

	private final Map<RequestId, String> keys = new HashMap<>();

	private final Set<RequestId> executed = new HashSet<>();

	private final Set<RequestId> refusedAsNotRun = new HashSet<>();

	private final Map<String, String> answers = new HashMap<>();

	private long nowNanos;

	private long sequence;

	private int requests;

	private int answered;

	ClaimSimulation(long seed, ClaimFaults faults) {
		this.random = new Random(seed);
		this.faults = faults;
		for (int shard = 0; shard < ClaimPlacement.SHARDS; shard++) {
			this.logs.put(shard, new FakeLog());
		}
		for (String name : List.of("da", "db", "dc")) {
			this.daemons.add(new SimulatedDaemon(name, this));
		}
		this.daemons.forEach((daemon) -> daemon.start(hosts()));
	}

	int answered() {
		return this.answered;
	}

	int runs() {
		return this.runs.values().stream().mapToInt(Integer::intValue).sum();
	}

	void run(int steps) {
		for (int step = 0; step < steps; step++) {
			injectFaults();
			if (this.random.nextInt(4) == 0) {
				submit();
			}
			advance(TICK_NANOS);
		}
		this.logs.values().forEach((log) -> log.down(false));
		advance(40 * Fixtures.SECOND);
	}

	void check(long seed) {
		this.runs.forEach((key, count) -> assertThat(count).as("seed %d: runs of %s", seed, key).isEqualTo(1));
		assertThat(this.refusedAsNotRun).as("seed %d: run although refused as not run", seed)
			.filteredOn(this.executed::contains)
			.isEmpty();
	}

	long nowNanos() {
		return this.nowNanos;
	}

	void schedule(long delayNanos, Runnable action) {
		this.actions.add(new ScheduledAction(this.nowNanos + delayNanos, this.sequence++, action));
	}

	void send(String toHost, Consumer<SimulatedDaemon> delivery) {
		if (occurs(this.faults.lostMessage())) {
			return;
		}
		int incarnation = daemon(toHost).incarnation();
		schedule(delay(), () -> {
			if (daemon(toHost).incarnation() == incarnation) {
				delivery.accept(daemon(toHost));
			}
		});
	}

	void append(SimulatedDaemon daemon, int shard, AppendClaims command) {
		FakeLog log = this.logs.get(shard);
		int incarnation = daemon.incarnation();
		schedule(delay(), () -> {
			boolean effective = !log.isDown() && !occurs(this.faults.failedAppend());
			if (effective) {
				log.append(command.records());
			}
			boolean confirmed = effective && !occurs(this.faults.lostAppendConfirmation());
			schedule(delay(), () -> daemon.onClaims(incarnation, shard, new ClaimsAppended(confirmed)));
		});
	}

	void read(SimulatedDaemon daemon, int shard, ReadClaims command) {
		FakeLog log = this.logs.get(shard);
		int incarnation = daemon.incarnation();
		schedule(delay(), () -> {
			ClaimEvent reply = log.isDown() ? new ClaimsReadFailed()
					: log.read(command.fromOffset(), 1 + this.random.nextInt(4));
			schedule(delay(), () -> daemon.onClaims(incarnation, shard, reply));
		});
	}

	void submitted(SimulatedDaemon edge, String holder, SubmitWork order) {
		int incarnation = edge.incarnation();
		schedule(delay(), () -> {
			List<WorkSignal> signals = execute(order.work());
			schedule(delay(),
					() -> signals.forEach((signal) -> edge.onEdge(incarnation, new SignalReceived(holder, signal))));
		});
	}

	void refused(SendProblem refusal) {
		if (refusal.problem().execution() == Execution.NOT_RUN) {
			this.refusedAsNotRun.add(refusal.request());
		}
	}

	void answered(WriteAnswer answer) {
		this.answered++;
		String key = this.keys.get(answer.request());
		String first = this.answers.putIfAbsent(key, answer.bytes().text());
		assertThat(answer.bytes().text()).isEqualTo((first != null) ? first : answer.bytes().text());
	}

	private List<WorkSignal> execute(Work work) {
		if (occurs(this.faults.notRun())) {
			return List.of(new WorkFailed(work.attempt(), Problem.notRun(ProblemKind.NO_UPSTREAM, "refused")));
		}
		this.executed.add(work.attempt().request());
		this.runs.merge(work.idempotencyKey(), 1, Integer::sum);
		if (occurs(this.faults.unknownOutcome())) {
			return List.of(new WorkFailed(work.attempt(), Problem.unknown(ProblemKind.OUTCOME_UNKNOWN, "lost")));
		}
		Payload answer = Payload.of("run by " + work.attempt());
		return List.of(new WorkStarted(work.attempt(), "s1", 200, "text"), new WorkChunk(work.attempt(), answer),
				new WorkEnded(work.attempt()));
	}

	private void submit() {
		String key = "key" + this.random.nextInt(KEYS);
		RequestId id = new RequestId("r" + this.requests++);
		this.keys.put(id, key);
		SimulatedDaemon edge = this.daemons.get(this.random.nextInt(this.daemons.size()));
		edge.onEdge(edge.incarnation(), new RequestSubmitted(
				Fixtures.request(id.value(), Fixtures.SERVICE, 0, 500 + this.random.nextInt(4_000), key)));
	}

	private void injectFaults() {
		SimulatedDaemon daemon = this.daemons.get(this.random.nextInt(this.daemons.size()));
		if (occurs(this.faults.outage())) {
			FakeLog log = this.logs.get(this.random.nextInt(ClaimPlacement.SHARDS));
			log.down(!log.isDown());
		}
		if (occurs(this.faults.crash())) {
			daemon.start(hosts());
			this.daemons.forEach((other) -> other.peerLost(daemon.name()));
		}
		if (occurs(this.faults.membersChange())) {
			daemon.members(hosts().stream()
				.filter((host) -> host.name().equals(daemon.name()) || this.random.nextBoolean())
				.toList());
		}
		if (occurs(this.faults.pause())) {
			daemon.pauseUntil(this.nowNanos + this.random.nextInt(6_000) * Fixtures.MILLI);
		}
	}

	private void advance(long nanos) {
		long untilNanos = this.nowNanos + nanos;
		for (long at = this.nowNanos; at < untilNanos; at += TICK_NANOS) {
			this.actions
				.add(new ScheduledAction(at, this.sequence++, () -> this.daemons.forEach(SimulatedDaemon::tick)));
		}
		while (!this.actions.isEmpty() && this.actions.peek().atNanos() <= untilNanos) {
			ScheduledAction next = this.actions.poll();
			this.nowNanos = Math.max(this.nowNanos, next.atNanos());
			next.action().run();
		}
		this.nowNanos = untilNanos;
	}

	private SimulatedDaemon daemon(String name) {
		return this.daemons.stream().filter((daemon) -> daemon.name().equals(name)).findFirst().orElseThrow();
	}

	private static List<Host> hosts() {
		return List.of(Fixtures.entryHost("da", "a"), Fixtures.entryHost("db", "b"), Fixtures.entryHost("dc", "b"));
	}

	private boolean occurs(int percent) {
		return this.random.nextInt(100) < percent;
	}

	private long delay() {
		return this.random.nextInt(MAX_DELAY_MILLIS) * Fixtures.MILLI;
	}

}
