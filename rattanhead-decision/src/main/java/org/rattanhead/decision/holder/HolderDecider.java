package org.rattanhead.decision.holder;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.rattanhead.core.HandlerTable;
import org.rattanhead.core.catalogue.UpstreamEntry;
import org.rattanhead.core.host.Host;
import org.rattanhead.core.problem.Problem;
import org.rattanhead.core.problem.ProblemKind;
import org.rattanhead.core.request.AttemptId;
import org.rattanhead.core.upstream.UpstreamDigest;
import org.rattanhead.core.work.CancelWork;
import org.rattanhead.core.work.SubmitWork;
import org.rattanhead.core.work.WorkEnded;
import org.rattanhead.core.work.WorkFailed;
import org.rattanhead.core.work.WorkOrder;
import org.rattanhead.core.work.WorkSignal;
import org.rattanhead.decision.Fleet;

/**
 * Queues and dispatches work for the upstreams whose lease this daemon holds. Only the
 * lease holder calls an upstream, so it alone enforces the limits. Owned by one duty.
 */
public final class HolderDecider {

	private static final long RETRY_AFTER_MILLIS = 1_000;

	private static final long PUBLISH_PERIOD_NANOS = 100_000_000;

	private static final long REPUBLISH_PERIOD_NANOS = 1_000_000_000;

	private static final long POLL_PERIOD_NANOS = 200_000_000;

	private final HandlerTable<HolderEvent, List<HolderCommand>> events = new HandlerTable<>();

	private final String self;

	private final QueueTable queues = new QueueTable();

	private Fleet fleet = Fleet.EMPTY;

	private boolean shuttingDown;

	private List<UpstreamDigest> lastPublished = List.of();

	private long nextRepublishNanos = Long.MIN_VALUE;

	private long nextPublishNanos = Long.MIN_VALUE;

	private long nextPollNanos = Long.MIN_VALUE;

	/**
	 * Creates the decider of one daemon.
	 * @param self the name of this daemon
	 */
	public HolderDecider(String self) {
		this.self = self;
		this.events.on(OrderReceived.class, this::orderReceived)
			.on(UpstreamSignal.class, this::signalReceived)
			.on(LoadReported.class, this::loadReported)
			.on(LoadMissing.class, this::loadMissing)
			.on(HolderCatalogueChanged.class, (event, now) -> fleetChanged(this.fleet.with(event.view())))
			.on(HolderMembersChanged.class,
					(event, now) -> fleetChanged(this.fleet.with(event.members(), event.leavingUpstreams())))
			.on(EntryDaemonLost.class, (event, now) -> entryDaemonLost(event.host()))
			.on(HolderTick.class, (event, now) -> tick(now))
			.on(HolderShutdown.class, (event, now) -> shutdown())
			.covering(HolderEvent.class);
	}

	/**
	 * Decides on one event.
	 * @param event the event
	 * @param nowNanos the time on the monotonic clock, in nanoseconds
	 * @return the commands, in order
	 */
	public List<HolderCommand> decide(HolderEvent event, long nowNanos) {
		return this.events.handle(event, nowNanos);
	}

	private List<HolderCommand> orderReceived(OrderReceived event, long nowNanos) {
		WorkOrder order = event.order();
		if (order instanceof SubmitWork submit) {
			return submit(event.fromHost(), submit);
		}
		return cancel((CancelWork) order);
	}

	private List<HolderCommand> submit(String fromHost, SubmitWork submit) {
		UpstreamEntry upstream = this.fleet.view().upstreams().get(submit.upstream());
		Optional<Problem> refusal = refusal(upstream, submit);
		if (refusal.isPresent()) {
			return List.of(new CountHolderEvent(HolderMetric.REFUSED, refusal.get().kind().slug()),
					new SendSignal(fromHost, new WorkFailed(submit.attempt(), refusal.get())));
		}
		UpstreamQueue queue = this.queues.open(upstream);
		this.queues.enqueue(queue, fromHost, submit.work());
		return dispatch(queue);
	}

	private Optional<Problem> refusal(UpstreamEntry upstream, SubmitWork submit) {
		if (this.shuttingDown) {
			return notRun(ProblemKind.SHUTTING_DOWN, "The lease holder of the upstream is shutting down.");
		}
		if (upstream == null || !holdsLease(upstream)) {
			return notRun(ProblemKind.NO_UPSTREAM,
					"Daemon '" + this.self + "' does not hold the lease of '" + submit.upstream() + "'.");
		}
		if (!this.fleet.acceptsWork(upstream)) {
			return notRun(ProblemKind.NO_UPSTREAM, "Upstream '" + upstream.name() + "' takes no new work.");
		}
		if (this.queues.find(upstream.name()).filter(UpstreamQueue::queueFull).isPresent()) {
			return notRun(ProblemKind.OVERLOADED, "The queue of upstream '" + upstream.name() + "' is full.");
		}
		return Optional.empty();
	}

	private boolean holdsLease(UpstreamEntry upstream) {
		return this.fleet.holder(upstream).map(Host::name).filter(this.self::equals).isPresent();
	}

	private List<HolderCommand> dispatch(UpstreamQueue queue) {
		List<HolderCommand> commands = new ArrayList<>();
		Optional<AcceptedWork> next = queue.dispatchNext();
		while (next.isPresent()) {
			commands.add(new CountHolderEvent(HolderMetric.DISPATCHED, queue.upstream().name()));
			commands.add(new CallUpstream(queue.upstream(), next.get().work()));
			next = queue.dispatchNext();
		}
		return commands;
	}

	private List<HolderCommand> cancel(CancelWork cancel) {
		return this.queues.find(cancel.attempt()).map((queue) -> endAttempt(queue, cancel.attempt())).orElse(List.of());
	}

	private List<HolderCommand> entryDaemonLost(String host) {
		return this.queues.attemptsFromHost(host)
			.stream()
			.flatMap((attempt) -> cancel(new CancelWork(attempt)).stream())
			.toList();
	}

	private List<HolderCommand> endAttempt(UpstreamQueue queue, AttemptId attempt) {
		List<HolderCommand> commands = new ArrayList<>();
		queue.removeWaiting(attempt);
		if (queue.endRunning(attempt).isPresent()) {
			commands.add(new AbortCall(queue.upstream(), attempt));
		}
		this.queues.removeAttempt(attempt);
		commands.addAll(dispatch(queue));
		return withDrainedCommand(commands);
	}

	private List<HolderCommand> signalReceived(UpstreamSignal event, long nowNanos) {
		WorkSignal signal = event.signal();
		Optional<UpstreamQueue> queue = this.queues.find(signal.attempt());
		Optional<AcceptedWork> running = queue.flatMap((found) -> found.findRunning(signal.attempt()));
		if (event.disrupted()) {
			this.queues.find(event.upstream()).ifPresent((found) -> found.coldStartGate().onDisruption(nowNanos));
		}
		if (running.isEmpty()) {
			return List.of(new CountHolderEvent(HolderMetric.DROPPED_SIGNAL, event.upstream()));
		}
		List<HolderCommand> commands = new ArrayList<>();
		commands.add(new SendSignal(running.get().fromHost(), signal));
		if (signal instanceof WorkEnded || signal instanceof WorkFailed) {
			queue.get().endRunning(signal.attempt());
			this.queues.removeAttempt(signal.attempt());
			commands.addAll(dispatch(queue.get()));
		}
		return withDrainedCommand(commands);
	}

	private List<HolderCommand> loadReported(LoadReported event, long nowNanos) {
		return this.queues.find(event.upstream()).map((queue) -> {
			queue.coldStartGate().onLoadReport(event.load(), nowNanos);
			return dispatch(queue);
		}).orElse(List.of());
	}

	private List<HolderCommand> loadMissing(LoadMissing event, long nowNanos) {
		return this.queues.find(event.upstream()).map((queue) -> {
			queue.coldStartGate().onDisruption(nowNanos);
			return List.<HolderCommand>of(new CountHolderEvent(HolderMetric.COLD_START, event.upstream()));
		}).orElse(List.of());
	}

	private List<HolderCommand> tick(long nowNanos) {
		List<HolderCommand> commands = new ArrayList<>();
		for (AttemptId attempt : this.queues.expire(nowNanos)) {
			commands.addAll(expire(attempt));
		}
		if (nowNanos >= this.nextPublishNanos) {
			this.nextPublishNanos = nowNanos + PUBLISH_PERIOD_NANOS;
			publishDigests(nowNanos).ifPresent(commands::add);
		}
		if (nowNanos >= this.nextPollNanos) {
			this.nextPollNanos = nowNanos + POLL_PERIOD_NANOS;
			this.queues.all()
				.stream()
				.filter((queue) -> queue.upstream().engine())
				.forEach((queue) -> commands.add(new PollLoad(queue.upstream())));
		}
		return commands;
	}

	private Optional<PublishDigests> publishDigests(long nowNanos) {
		List<UpstreamDigest> digests = digests();
		if (digests.equals(this.lastPublished) && nowNanos < this.nextRepublishNanos) {
			return Optional.empty();
		}
		this.lastPublished = digests;
		this.nextRepublishNanos = nowNanos + REPUBLISH_PERIOD_NANOS;
		return Optional.of(new PublishDigests(digests));
	}

	private List<HolderCommand> expire(AttemptId attempt) {
		UpstreamQueue queue = this.queues.find(attempt).orElseThrow();
		boolean running = queue.findRunning(attempt).isPresent();
		String fromHost = (running ? queue.findRunning(attempt) : queue.removeWaiting(attempt)).orElseThrow()
			.fromHost();
		Problem problem = running
				? Problem.failed(ProblemKind.DEADLINE_EXCEEDED, "The deadline passed while the upstream ran it.")
				: Problem.notRun(ProblemKind.DEADLINE_EXCEEDED, "The deadline passed while it waited.");
		List<HolderCommand> commands = new ArrayList<>();
		commands.add(new SendSignal(fromHost, new WorkFailed(attempt, problem)));
		commands.addAll(endAttempt(queue, attempt));
		return commands;
	}

	private List<UpstreamDigest> digests() {
		return this.queues.all()
			.stream()
			.filter((queue) -> holdsLease(queue.upstream()))
			.map((queue) -> queue.digest(!this.shuttingDown && this.fleet.acceptsWork(queue.upstream())))
			.toList();
	}

	private List<HolderCommand> fleetChanged(Fleet newFleet) {
		this.fleet = newFleet;
		List<HolderCommand> commands = new ArrayList<>();
		for (UpstreamEntry upstream : newFleet.view().upstreams().values()) {
			if (holdsLease(upstream)) {
				this.queues.open(upstream);
			}
		}
		for (UpstreamQueue queue : this.queues.all()) {
			commands.addAll(dispatchOrReturnWaiting(queue));
		}
		this.queues.closeIdleIf((queue) -> !isResponsibleFor(queue.upstream()));
		return withDrainedCommand(commands);
	}

	private boolean isResponsibleFor(UpstreamEntry upstream) {
		return this.fleet.view().upstreams().containsKey(upstream.name()) && holdsLease(upstream);
	}

	private List<HolderCommand> dispatchOrReturnWaiting(UpstreamQueue queue) {
		if (isResponsibleFor(queue.upstream()) && this.fleet.acceptsWork(queue.upstream())) {
			return dispatch(queue);
		}
		return returnWaiting(queue, "Upstream '" + queue.upstream().name() + "' takes no new work here.");
	}

	private List<HolderCommand> returnWaiting(UpstreamQueue queue, String detail) {
		List<HolderCommand> commands = new ArrayList<>();
		for (AcceptedWork accepted : queue.removeAllWaiting()) {
			this.queues.removeAttempt(accepted.work().attempt());
			commands.add(new SendSignal(accepted.fromHost(), new WorkFailed(accepted.work().attempt(),
					Problem.notRun(ProblemKind.NO_UPSTREAM, detail, RETRY_AFTER_MILLIS))));
		}
		return commands;
	}

	private List<HolderCommand> shutdown() {
		this.shuttingDown = true;
		List<HolderCommand> commands = new ArrayList<>();
		this.queues.all()
			.forEach((queue) -> commands.addAll(returnWaiting(queue, "The lease holder is shutting down.")));
		commands.add(new PublishDigests(digests()));
		return withDrainedCommand(commands);
	}

	private List<HolderCommand> withDrainedCommand(List<HolderCommand> commands) {
		if (!this.shuttingDown || !this.queues.empty()) {
			return commands;
		}
		List<HolderCommand> all = new ArrayList<>(commands);
		all.add(new HolderDrained());
		return all;
	}

	private static Optional<Problem> notRun(ProblemKind kind, String detail) {
		return Optional.of(Problem.notRun(kind, detail, RETRY_AFTER_MILLIS));
	}

}
