package org.rattanhead.decision.forward;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.IntStream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import org.rattanhead.core.forward.AnswerVerdict;
import org.rattanhead.core.forward.AttemptFault;
import org.rattanhead.core.forward.RouteKind;
import org.rattanhead.core.forward.UpstreamInstance;
import org.rattanhead.core.request.AttemptId;
import org.rattanhead.core.request.RequestId;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Runs seeded schedules of requests, faults and fleet changes against a reference model.
 * Checks that at-most-once requests run at most once, that none refused as not run has
 * run, that instances out of service receive no work, that each request ends once, that
 * reserved memory is released, and that retries stay within the budget.
 */
class ForwardScheduleTests {

	private static final int STEPS = 400;

	private static final int RETRY_SLACK = 20;

	private static final List<String> PATHS = List.of("/ask/", "/long/", "/order/", "/look/");

	private static final List<RouteKind> KINDS = List.of(RouteKind.STREAM, RouteKind.STREAM, RouteKind.AT_MOST_ONCE,
			RouteKind.IDEMPOTENT);

	private static final List<TicketOutcome> RESERVE_OUTCOMES = List.of(TicketOutcome.GRANTED, TicketOutcome.REFUSED,
			TicketOutcome.UNKNOWN);

	private final ForwardRig rig = new ForwardRig(new ForwardLimits(0.2, RETRY_SLACK, 10_000, 20_000, 17, 1));

	private final ForwardOracle oracle = new ForwardOracle();

	private final List<AttemptId> running = new ArrayList<>();

	private final List<Ticket> pendingTickets = new ArrayList<>();

	private int requests;

	static IntStream seeds() {
		return IntStream.range(0, 300);
	}

	@ParameterizedTest(name = "seed {0}")
	@MethodSource("seeds")
	void keepsInvariantsUnderRandomSchedules(int seed) {
		Random random = new Random(seed);
		handle(new ConfigurationApplied(ForwardRig.configuration(1)));
		handle(new InstancesChanged(ForwardRig.instances(6, 3)));
		for (int step = 0; step < STEPS; step++) {
			step(random);
		}
		handle(new InstancesChanged(ForwardRig.instances(6, 3)));
		this.oracle.setUnavailableInstances(Set.of());
		advance(20_000);
		assertThat(this.oracle.open()).as("requests without an end").isEmpty();
		assertThat(this.oracle.reservedTickets()).as("memory that was not released").isEmpty();
		assertThat(this.oracle.retries()).as("retries")
			.isLessThanOrEqualTo((int) (0.2 * this.requests + RETRY_SLACK) * 3);
	}

	private void step(Random random) {
		switch (random.nextInt(12)) {
			case 0, 1, 2 -> submit(random);
			case 3, 4 -> answer(random);
			case 5 -> pick(random, (attempt) -> handle(new AttemptFailed(attempt, AttemptFault.BROKEN, "schedule")));
			case 6 -> notSent(random);
			case 7 -> disconnect(random);
			case 8 -> changeDraining(random);
			case 9, 10 -> replyToReservation(random);
			default -> advance(20 * (1 + random.nextInt(20)));
		}
	}

	private void submit(Random random) {
		int kind = random.nextInt(PATHS.size());
		long tokens = List.of(4_000L, 100_000L + random.nextInt(700_000), 0L, 0L).get(kind);
		this.requests++;
		RequestId id = new RequestId("self-" + this.requests);
		this.oracle.submitted(id, KINDS.get(kind));
		int before = this.rig.commands.size();
		this.rig.submit(PATHS.get(kind), tokens, ForwardRig.KEY, this.requests);
		observe(this.rig.commands.subList(before, this.rig.commands.size()));
	}

	private void answer(Random random) {
		pick(random, (attempt) -> {
			int draw = random.nextInt(4);
			AnswerVerdict verdict = AnswerVerdict.values()[draw];
			boolean notRun = verdict == AnswerVerdict.NOT_RUN || verdict == AnswerVerdict.WRONG_INSTANCE;
			if (notRun) {
				this.oracle.didNotRun(attempt);
			}
			this.rig.answer(attempt, notRun ? 503 : 200, verdict, random.nextBoolean());
			if (verdict == AnswerVerdict.RUN) {
				this.rig.bytes(attempt, "id: 1\ndata: a\n\n" + (random.nextBoolean() ? "id: 2" : ""));
				this.rig.finish(attempt);
			}
		});
	}

	private void notSent(Random random) {
		pick(random, (attempt) -> {
			this.oracle.didNotRun(attempt);
			handle(new AttemptFailed(attempt, AttemptFault.NOT_SENT, "schedule"));
		});
	}

	private void disconnect(Random random) {
		pick(random, (attempt) -> {
			this.oracle.disconnected(attempt.request());
			handle(new ForwardCallerDisconnected(attempt.request()));
		});
	}

	private void changeDraining(Random random) {
		int changed = random.nextInt(6);
		List<UpstreamInstance> instances = new ArrayList<>(ForwardRig.instances(6, 3));
		instances.set(changed, ForwardRig.instance("e" + changed, ForwardRig.ENGINES, changed, random.nextBoolean()));
		handle(new InstancesChanged(instances));
		this.oracle.setUnavailableInstances(instances.get(changed).draining() ? Set.of("e" + changed) : Set.of());
	}

	private void replyToReservation(Random random) {
		if (!this.pendingTickets.isEmpty()) {
			Ticket ticket = this.pendingTickets.remove(random.nextInt(this.pendingTickets.size()));
			TicketOutcome outcome = RESERVE_OUTCOMES.get(random.nextInt(RESERVE_OUTCOMES.size()));
			if (outcome == TicketOutcome.REFUSED) {
				this.oracle.ticketRefused(ticket);
			}
			handle(new TicketReplied(ticket, outcome));
		}
	}

	private void advance(long millis) {
		int before = this.rig.commands.size();
		this.rig.advance(millis);
		observe(this.rig.commands.subList(before, this.rig.commands.size()));
	}

	private void pick(Random random, Consumer<AttemptId> action) {
		if (!this.running.isEmpty()) {
			AttemptId attempt = this.running.remove(random.nextInt(this.running.size()));
			int before = this.rig.commands.size();
			action.accept(attempt);
			observe(this.rig.commands.subList(before, this.rig.commands.size()));
		}
	}

	private void handle(ForwardEvent event) {
		int before = this.rig.commands.size();
		this.rig.handle(event);
		observe(this.rig.commands.subList(before, this.rig.commands.size()));
	}

	private void observe(List<ForwardCommand> commands) {
		for (ForwardCommand command : List.copyOf(commands)) {
			if (command instanceof CallInstance call) {
				this.running.add(call.call().attempt());
			}
			else if (command instanceof AbortAttempt abort) {
				this.running.remove(abort.attempt());
			}
			else if (command instanceof ReserveTicket reserve) {
				this.pendingTickets.add(reserve.ticket());
			}
			this.oracle.check(command);
		}
		this.rig.commands.clear();
	}

}
