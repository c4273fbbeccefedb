package org.rattanhead.decision.edge;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

import org.rattanhead.core.HandlerTable;
import org.rattanhead.core.claim.ClaimOutcome;
import org.rattanhead.core.claim.KeptAnswer;
import org.rattanhead.core.problem.Execution;
import org.rattanhead.core.problem.Problem;
import org.rattanhead.core.problem.ProblemKind;
import org.rattanhead.core.request.AttemptId;
import org.rattanhead.core.request.CallerRequest;
import org.rattanhead.core.request.RequestId;
import org.rattanhead.core.request.Work;
import org.rattanhead.core.work.CancelWork;
import org.rattanhead.core.work.WorkChunk;
import org.rattanhead.core.work.WorkEnded;
import org.rattanhead.core.work.WorkFailed;
import org.rattanhead.core.work.WorkSignal;
import org.rattanhead.core.work.WorkStarted;
import org.rattanhead.decision.Fleet;
import org.rattanhead.decision.placement.Candidate;
import org.rattanhead.decision.placement.PlacementPolicy;

/**
 * Decides on admission, placement, retries and claims of the requests that this daemon
 * received from callers. Its state is owned by one duty. It is deterministic: the same
 * events at the same times give the same commands.
 */
public final class EdgeDecider {

	private final HandlerTable<EdgeEvent, List<EdgeCommand>> eventHandlers = new HandlerTable<>();

	private final HandlerTable<WorkSignal, List<EdgeCommand>> signalHandlers = new HandlerTable<>();

	private final RequestTable requests = new RequestTable();

	private final RetryRules retries = new RetryRules();

	private final EdgeClaims claims = new EdgeClaims();

	private final UpstreamChooser chooser;

	private Fleet fleet = Fleet.EMPTY;

	private boolean shuttingDown;

	/**
	 * Creates the decider of one daemon.
	 * @param policy the policy that chooses upstreams
	 * @param random the seeded random generator
	 */
	public EdgeDecider(PlacementPolicy policy, RandomGenerator random) {
		this.chooser = new UpstreamChooser(policy, random, this.requests.outstanding());
		this.eventHandlers.on(RequestSubmitted.class, (event, now) -> submit(event.request(), now))
			.on(CallerDisconnected.class, (event, now) -> callerDisconnected(event.request()))
			.on(SignalReceived.class, this::signal)
			.on(VerdictReceived.class, this::verdict)
			.on(DigestsReceived.class, (event, now) -> digests(event))
			.on(EdgeCatalogueChanged.class, (event, now) -> fleetChanged(this.fleet.with(event.view())))
			.on(EdgeMembersChanged.class,
					(event, now) -> fleetChanged(this.fleet.with(event.members(), event.leavingUpstreams())))
			.on(PeerLost.class, this::peerLost)
			.on(EdgeTick.class, (event, now) -> tick(now))
			.on(EdgeShutdown.class, (event, now) -> shutdown())
			.on(EdgeGraceEnded.class, (event, now) -> graceEnded())
			.covering(EdgeEvent.class);
		this.signalHandlers.on(WorkStarted.class, (signal, now) -> started(signal))
			.on(WorkChunk.class, (signal, now) -> chunk(signal))
			.on(WorkEnded.class, (signal, now) -> attemptEnded(signal.attempt().request()))
			.on(WorkFailed.class, this::attemptFailed)
			.covering(WorkSignal.class);
	}

	/**
	 * Decides on one event.
	 * @param event the event
	 * @param nowNanos the time on the monotonic clock, in nanoseconds
	 * @return the commands, in order
	 */
	public List<EdgeCommand> decide(EdgeEvent event, long nowNanos) {
		return this.eventHandlers.handle(event, nowNanos);
	}

	private List<EdgeCommand> submit(CallerRequest request, long nowNanos) {
		this.retries.onRequest();
		Optional<Problem> refusal = AdmissionRules
			.check(new AdmissionContext(request, this.fleet, this.shuttingDown, this.requests.inFlight()));
		if (refusal.isPresent()) {
			return refuse(request.id(), refusal.get());
		}
		Work work = Admission.admit(request, this.fleet.view(), nowNanos);
		Optional<? extends EdgeCommand> firstCommand = work.repeatable() ? place(work)
				: this.claims.requestClaim(work, request.digest(), this.fleet);
		if (firstCommand.isEmpty()) {
			return refuse(request.id(), work.repeatable() ? PlacementProblems.noUpstream(work)
					: ClaimProblems.of(ClaimOutcome.UNAVAILABLE));
		}
		this.requests.admit(work);
		return List.of(new CountEdgeEvent(EdgeMetric.ADMITTED, work.workspace()), firstCommand.get());
	}

	private List<EdgeCommand> refuse(RequestId id, Problem problem) {
		return List.of(new CountEdgeEvent(EdgeMetric.REFUSED, problem.kind().slug()), new SendProblem(id, problem));
	}

	private Optional<SendOrder> place(Work work) {
		return this.chooser.choose(work, this.fleet, Set.of())
			.map((chosen) -> this.requests.send(work, chosen, Set.of()));
	}

	private List<EdgeCommand> verdict(VerdictReceived event, long nowNanos) {
		RequestId id = event.verdict().request();
		boolean current = this.claims.find(id)
			.filter((claiming) -> claiming.writer().equals(event.fromHost()))
			.isPresent();
		if (!current) {
			return List.of(new CountEdgeEvent(EdgeMetric.DROPPED_SIGNAL, "ClaimVerdict"));
		}
		Work work = this.claims.remove(id).orElseThrow().work();
		if (event.verdict().outcome() == ClaimOutcome.GRANTED) {
			Optional<SendOrder> order = place(work);
			return order.isPresent() ? List.of(order.get())
					: failClaimed(work, PlacementProblems.noUpstream(work), true);
		}
		return event.verdict()
			.answer()
			.map((answer) -> sendKeptAnswer(work, answer))
			.orElseGet(() -> failClaimed(work, ClaimProblems.of(event.verdict().outcome()),
					event.verdict().outcome() == ClaimOutcome.UNAVAILABLE));
	}

	private List<EdgeCommand> sendKeptAnswer(Work work, KeptAnswer answer) {
		RequestId id = work.attempt().request();
		this.requests.finish(work);
		return appendDrainedIfIdle(List.of(new CountEdgeEvent(EdgeMetric.REPEATED, work.workspace()),
				new StartAnswer(id, "", answer.status(), answer.contentType()), new WriteAnswer(id, answer.body()),
				new EndAnswer(id)));
	}

	private List<EdgeCommand> failClaimed(Work work, Problem problem, boolean releaseClaim) {
		RequestId id = work.attempt().request();
		this.requests.finish(work);
		List<EdgeCommand> commands = new ArrayList<>();
		if (releaseClaim) {
			this.claims.release(work, this.fleet).ifPresent(commands::add);
		}
		commands.add(new CountEdgeEvent(EdgeMetric.FAILED, problem.kind().slug()));
		commands.add(new SendProblem(id, problem));
		return appendDrainedIfIdle(commands);
	}

	private List<EdgeCommand> signal(SignalReceived event, long nowNanos) {
		Optional<PendingRequest> request = this.requests.find(event.signal().attempt().request())
			.filter((found) -> found.work().attempt().equals(event.signal().attempt())
					&& found.holder().equals(event.fromHost()));
		if (request.isEmpty()) {
			return List.of(new CountEdgeEvent(EdgeMetric.DROPPED_SIGNAL, event.signal().getClass().getSimpleName()));
		}
		return this.signalHandlers.handle(event.signal(), nowNanos);
	}

	private List<EdgeCommand> started(WorkStarted signal) {
		RequestId id = signal.attempt().request();
		PendingRequest request = this.requests.find(id).orElseThrow();
		this.requests.markAnswerStarted(request);
		if (!request.work().repeatable()) {
			this.claims.startRecording(id, signal.status(), signal.contentType());
		}
		return List.of(new StartAnswer(id, signal.upstream(), signal.status(), signal.contentType()));
	}

	private List<EdgeCommand> chunk(WorkChunk signal) {
		RequestId id = signal.attempt().request();
		this.claims.recordChunk(id, signal.bytes());
		return List.of(new WriteAnswer(id, signal.bytes()));
	}

	private List<EdgeCommand> attemptEnded(RequestId id) {
		Work work = this.requests.find(id).orElseThrow().work();
		this.requests.finish(work);
		List<EdgeCommand> commands = new ArrayList<>();
		commands.add(new CountEdgeEvent(EdgeMetric.ANSWERED, work.workspace()));
		commands.add(new EndAnswer(id));
		this.claims.reportAnswer(work, this.fleet).ifPresent(commands::add);
		return appendDrainedIfIdle(commands);
	}

	private List<EdgeCommand> attemptFailed(WorkFailed signal, long nowNanos) {
		RequestId id = signal.attempt().request();
		PendingRequest request = this.requests.find(id).orElseThrow();
		Optional<Candidate> next = this.retries.mayRetry(request, signal.problem(), nowNanos)
				? this.chooser.choose(request.work(), this.fleet, request.excludedWithCurrent()) : Optional.empty();
		if (next.isEmpty() || !this.retries.acquireRetry(signal.problem())) {
			return failRequest(request, RetryRules.finalProblem(request, signal.problem()));
		}
		Work retry = request.work().withAttempt(new AttemptId(id, request.work().attempt().number() + 1));
		return List.of(new CountEdgeEvent(EdgeMetric.RETRIED, signal.problem().kind().slug()),
				this.requests.send(retry, next.get(), request.excludedWithCurrent()));
	}

	private List<EdgeCommand> failRequest(PendingRequest request, Problem problem) {
		Work work = request.work();
		RequestId id = work.attempt().request();
		if (!work.repeatable() && problem.execution() == Execution.NOT_RUN) {
			return failClaimed(work, problem, true);
		}
		this.requests.finish(work);
		this.claims.discardAnswer(id);
		return appendDrainedIfIdle(
				List.of(new CountEdgeEvent(EdgeMetric.FAILED, problem.kind().slug()), request.answerStarted()
						? new AbortAnswer(id, problem.withExecution(Execution.FAILED)) : new SendProblem(id, problem)));
	}

	private List<EdgeCommand> callerDisconnected(RequestId id) {
		Optional<PendingRequest> request = this.requests.find(id);
		if (request.isEmpty()) {
			return abandonClaim(id);
		}
		Work work = request.get().work();
		if (!work.repeatable()) {
			return List.of();
		}
		this.requests.finish(work);
		return appendDrainedIfIdle(List.of(new CountEdgeEvent(EdgeMetric.FAILED, "caller-gone"),
				new SendOrder(request.get().holder(), new CancelWork(work.attempt()))));
	}

	private List<EdgeCommand> abandonClaim(RequestId id) {
		return this.claims.remove(id)
			.map((claiming) -> failClaimed(claiming.work(), ClaimProblems.of(ClaimOutcome.UNAVAILABLE), true))
			.orElse(List.of());
	}

	private List<EdgeCommand> tick(long nowNanos) {
		return endRequests(this.requests.expire(nowNanos),
				Problem.failed(ProblemKind.DEADLINE_EXCEEDED, "The deadline passed before the answer was complete."));
	}

	private List<EdgeCommand> graceEnded() {
		return endRequests(this.requests.expire(Long.MAX_VALUE),
				Problem.unknown(ProblemKind.UPSTREAM_FAILED, "The daemon shut down before the answer was complete."));
	}

	private List<EdgeCommand> endRequests(List<RequestId> ids, Problem problem) {
		List<EdgeCommand> commands = new ArrayList<>();
		for (RequestId id : ids) {
			Optional<PendingRequest> request = this.requests.find(id);
			request.ifPresent(
					(found) -> commands.add(new SendOrder(found.holder(), new CancelWork(found.work().attempt()))));
			commands.addAll(request.map((found) -> failRequest(found, RetryRules.finalProblem(found, problem)))
				.orElseGet(() -> abandonClaim(id)));
		}
		return commands;
	}

	private List<EdgeCommand> peerLost(PeerLost event, long nowNanos) {
		Problem problem = Problem.unknown(ProblemKind.UPSTREAM_FAILED,
				"The link to daemon '" + event.host() + "' was lost.");
		return this.requests.sentThrough(event.host())
			.stream()
			.flatMap((request) -> attemptFailed(new WorkFailed(request.work().attempt(), problem), nowNanos).stream())
			.toList();
	}

	private List<EdgeCommand> digests(DigestsReceived event) {
		this.requests.outstanding().updateDigests(event.fromHost(), event.digests());
		return List.of();
	}

	private List<EdgeCommand> fleetChanged(Fleet newFleet) {
		Set<String> previousUpstreams = this.fleet.view().upstreams().keySet();
		previousUpstreams.stream()
			.filter((upstream) -> !newFleet.view().upstreams().containsKey(upstream))
			.forEach(this.requests.outstanding()::removeDigest);
		this.fleet = newFleet;
		return this.claims.resendToNewWriters(newFleet);
	}

	private List<EdgeCommand> shutdown() {
		this.shuttingDown = true;
		return appendDrainedIfIdle(List.of());
	}

	private List<EdgeCommand> appendDrainedIfIdle(List<EdgeCommand> commands) {
		List<EdgeCommand> all = new ArrayList<>(commands);
		if (this.shuttingDown && this.requests.empty() && this.claims.empty()) {
			all.add(new EdgeDrained());
		}
		return all;
	}

}
