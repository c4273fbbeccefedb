package org.rattanhead.decision.holder;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;

import org.rattanhead.core.problem.Problem;
import org.rattanhead.core.problem.ProblemKind;
import org.rattanhead.core.request.AttemptId;
import org.rattanhead.core.request.Work;
import org.rattanhead.core.upstream.UpstreamLoad;
import org.rattanhead.core.work.CancelWork;
import org.rattanhead.core.work.SubmitWork;
import org.rattanhead.core.work.WorkEnded;
import org.rattanhead.core.work.WorkFailed;
import org.rattanhead.decision.Fixtures;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Random event schedules for {@link HolderDecider}, checked against a simple model: the
 * running work stays within the slots and memory of the upstream, and every order ends
 * exactly once.
 */
class HolderDeciderProperties {

	private static final int STEPS = 300;

	private static final int SLOTS = 4;

	private static final long MEMORY_TOKENS = 20_000;

	private final HolderDecider decider = new HolderDecider("da");

	private final Map<AttemptId, Work> running = new HashMap<>();

	private final Map<AttemptId, String> open = new HashMap<>();

	private long nowNanos;

	private int submitted;

	@Property(tries = 200, seed = "42")
	void staysWithinLimitsAndEndsEveryOrderOnce(@ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
		Random random = new Random(seed);
		apply(new HolderCatalogueChanged(Fixtures.view()));
		apply(new HolderMembersChanged(Fixtures.hosts(), Fixtures.noLeavingUpstreams()));
		for (int step = 0; step < STEPS; step++) {
			this.nowNanos += random.nextInt(50) * Fixtures.MILLI;
			applyRandomEvent(random);
		}
		this.nowNanos += 1_000 * Fixtures.SECOND;
		apply(new HolderTick());
		assertThat(this.open).isEmpty();
		assertThat(this.running).isEmpty();
	}

	private void applyRandomEvent(Random random) {
		switch (random.nextInt(6)) {
			case 0, 1 -> submit(random);
			case 2 -> endRandomAttempt(random);
			case 3 -> cancelRandomAttempt(random);
			case 4 -> apply(new LoadReported("e1",
					new UpstreamLoad("boot" + random.nextInt(3), random.nextBoolean(), 0, 0, 0)));
			default -> apply(random.nextBoolean() ? new HolderTick() : new EntryDaemonLost("db"));
		}
	}

	private void submit(Random random) {
		Work work = Fixtures.work("r" + this.submitted++, random.nextInt(3), 1 + random.nextInt(9_000),
				this.nowNanos + random.nextInt(5_000) * Fixtures.MILLI);
		String fromHost = random.nextBoolean() ? "db" : "da";
		this.open.put(work.attempt(), fromHost);
		apply(new OrderReceived(fromHost, new SubmitWork("e1", work)));
	}

	private void endRandomAttempt(Random random) {
		if (this.running.isEmpty()) {
			return;
		}
		AttemptId attempt = List.copyOf(this.running.keySet()).get(random.nextInt(this.running.size()));
		this.running.remove(attempt);
		Problem problem = Problem.failed(ProblemKind.UPSTREAM_FAILED, "test");
		apply(new UpstreamSignal("e1", random.nextBoolean() ? new WorkEnded(attempt) : new WorkFailed(attempt, problem),
				random.nextBoolean()));
	}

	private void cancelRandomAttempt(Random random) {
		if (this.open.isEmpty()) {
			return;
		}
		AttemptId attempt = List.copyOf(this.open.keySet()).get(random.nextInt(this.open.size()));
		this.open.remove(attempt);
		apply(new OrderReceived("db", new CancelWork(attempt)));
	}

	private void apply(HolderEvent event) {
		List<HolderCommand> commands = this.decider.decide(event, this.nowNanos);
		commands.forEach(this::checkCommand);
		if (event instanceof EntryDaemonLost lost) {
			this.open.values().removeIf(lost.host()::equals);
		}
		long usedTokens = this.running.values().stream().mapToLong(Work::memoryTokens).sum();
		assertThat(this.running.size()).isLessThanOrEqualTo(SLOTS);
		assertThat(usedTokens).isLessThanOrEqualTo(MEMORY_TOKENS);
	}

	private void checkCommand(HolderCommand command) {
		if (command instanceof CallUpstream call) {
			assertThat(this.running.put(call.work().attempt(), call.work())).isNull();
		}
		else if (command instanceof AbortCall abort) {
			assertThat(this.running.remove(abort.attempt())).isNotNull();
			this.open.remove(abort.attempt());
		}
		else if (command instanceof SendSignal send) {
			assertThat(this.open.remove(send.signal().attempt())).isEqualTo(send.toHost());
		}
	}

}
