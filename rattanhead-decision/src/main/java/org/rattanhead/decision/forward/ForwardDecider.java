package org.rattanhead.decision.forward;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.random.RandomGenerator;

import org.rattanhead.core.HandlerTable;
import org.rattanhead.core.forward.ForwardRequest;
import org.rattanhead.core.forward.LoadEntry;
import org.rattanhead.core.problem.ProblemException;
import org.rattanhead.core.request.AttemptId;

/**
 * Decides for the requests that callers send to this daemon. The state is owned by one
 * duty; the same events at the same times give the same commands.
 */
public final class ForwardDecider {

	/**
	 * How long before its deadline a request fails, so that the reply arrives in time.
	 */
	private static final long DEADLINE_MARGIN_MILLIS = 30;

	private final HandlerTable<ForwardEvent, List<ForwardCommand>> events = new HandlerTable<>();

	private final ForwardState state;

	private final ForwardAdmission admission;

	private final FairSharing sharing;

	private final Dispatcher dispatcher;

	private final AttemptRules attempts;

	private final RuleFaults faults;

	private final CrashRules crashes;

	private final NoticeRules notices;

	private final LimitRules limits;

	private boolean draining;

	/**
	 * Creates the decider of one daemon.
	 * @param self the name of its host
	 * @param limits the limits that all daemons share
	 * @param random the seeded random generator
	 */
	public ForwardDecider(String self, ForwardLimits limits, RandomGenerator random) {
		this(self, limits, Long.MAX_VALUE, random);
	}

	/**
	 * Creates the decider of one daemon with a bound on the answers that it holds.
	 * @param self the name of its host
	 * @param limits the limits that all daemons share
	 * @param maxReplyBytes the bytes of unfinished answers from which less of each is
	 * held
	 * @param random the seeded random generator
	 */
	public ForwardDecider(String self, ForwardLimits limits, long maxReplyBytes, RandomGenerator random) {
		this.state = new ForwardState(self, limits, maxReplyBytes, random);
		this.admission = new ForwardAdmission(this.state);
		this.sharing = new FairSharing(this.state);
		this.dispatcher = new Dispatcher(this.state, this.sharing);
		this.attempts = new AttemptRules(this.state, this.dispatcher);
		this.faults = new RuleFaults(this.state, this.dispatcher);
		this.crashes = new CrashRules(this.state, this.attempts, this.faults);
		this.notices = new NoticeRules(this.state);
		this.limits = new LimitRules(this.state);
		registerRequests();
		new FleetEvents(this.state, this.notices, this.limits).register(this.events);
		this.events.covering(ForwardEvent.class);
	}

	/**
	 * Decides on one event.
	 * @param event the event
	 * @param nowNanos the time on the monotonic clock, in nanoseconds
	 * @return the commands, in order
	 */
	public List<ForwardCommand> decide(ForwardEvent event, long nowNanos) {
		List<ForwardCommand> commands = new ArrayList<>(this.events.handle(event, nowNanos));
		this.faults.confine(commands, () -> this.crashes.applyChanges(nowNanos, commands));
		this.faults.confine(commands, () -> commands.removeIf((command) -> !this.notices.permits(command, nowNanos)));
		this.faults.confine(commands, () -> this.limits.countOrders(commands, nowNanos));
		if (this.draining && this.state.idle()) {
			commands.add(new ForwardDrained());
		}
		return commands;
	}

	/**
	 * Returns whether ticks are needed because requests or reservations are in progress.
	 * @return true if ticks are needed
	 */
	public boolean busy() {
		return !this.state.idle();
	}

	private void registerRequests() {
		this.events.on(ForwardSubmitted.class, (event, now) -> submit(event.request(), event.viaPeer(), now))
			.on(ForwardCallerDisconnected.class,
					(event, now) -> apply(this.state.find(event.request()), now,
							(forwarding, commands) -> this.attempts.callerDisconnected(forwarding, now, commands)))
			.on(AttemptAnswered.class, (event, now) -> current(event.attempt(), now, (forwarding, commands) -> {
				this.limits.answered(forwarding, event.head(), now, commands);
				this.attempts.answered(forwarding, event.head(), now, commands);
			}))
			.on(AttemptContinued.class, (event, now) -> current(event.attempt(), now,
					(forwarding, commands) -> this.attempts.continued(forwarding, event.bytes(), now, commands)))
			.on(AttemptFinished.class,
					(event, now) -> current(event.attempt(), now,
							(forwarding, commands) -> this.attempts.finished(forwarding, now, commands)))
			.on(AttemptFailed.class,
					(event, now) -> current(event.attempt(), now,
							(forwarding, commands) -> this.attempts.connectionFailed(forwarding, event.fault(),
									event.detail(), now, commands)))
			.on(ReplyWritten.class,
					(event, now) -> apply(this.state.find(event.request()), now,
							(forwarding, commands) -> written(forwarding, event.bytes(), commands)))
			.on(TicketReplied.class, this::ticketReplied)
			.on(ForwardTick.class, (event, now) -> tick(now))
			.on(InstanceProbed.class, (event, now) -> this.state.reach().probed(event, now))
			.on(HeartbeatDue.class, (event, now) -> {
				List<ForwardCommand> commands = new ArrayList<>(List.of(heartbeat(now)));
				if (this.state.fleet().even()) {
					commands.addAll(BalanceReports.of(this.state.fleet().all()));
				}
				return commands;
			})
			.on(ShutdownStarted.class, (event, now) -> {
				this.state.shutdown(event.endNanos());
				return List.of();
			})
			.on(ForwardDraining.class, (event, now) -> drain(event))
			.on(GraceEnded.class, (event, now) -> graceEnded(now));
	}

	private List<ForwardCommand> submit(ForwardRequest request, boolean viaPeer, long nowNanos) {
		List<ForwardCommand> commands = new ArrayList<>();
		try {
			Forwarding forwarding = this.admission.admit(request, viaPeer, nowNanos);
			this.state.add(forwarding);
			if (!viaPeer) {
				this.state.budget().request(forwarding.service().name(), nowNanos);
			}
			dispatchConfined(forwarding, nowNanos, commands);
		}
		catch (ProblemException ex) {
			commands.add(new LogDecision("refused", request.id().value(), request.callerAttempt(), "",
					ex.problem().kind().slug() + ": " + ex.problem().detail(), List.of(DecisionInput.of("configuration",
							this.state.routes().map((routes) -> routes.configuration().version()).orElse(0L)))));
			commands.add(new RefuseRequest(request.id(), ex.problem()));
		}
		catch (RuntimeException | Error ex) {
			commands.add(new RefuseRequest(request.id(), AttemptProblems.ruleFailed()));
			commands.add(RuleFaults.log(request.id().value(), ex));
		}
		return commands;
	}

	private void dispatchConfined(Forwarding forwarding, long nowNanos, List<ForwardCommand> commands) {
		this.faults.confine(forwarding, nowNanos, commands, () -> dispatch(forwarding, nowNanos, commands));
	}

	private void dispatch(Forwarding forwarding, long nowNanos, List<ForwardCommand> commands) {
		DispatchResult result = this.dispatcher.dispatch(forwarding, nowNanos, commands);
		if (result.refused()) {
			this.attempts.refused(forwarding, result, nowNanos, commands);
		}
	}

	private List<ForwardCommand> current(AttemptId attempt, long nowNanos,
			BiConsumer<Forwarding, List<ForwardCommand>> rule) {
		return apply(this.state.current(attempt), nowNanos, rule);
	}

	private List<ForwardCommand> apply(Optional<Forwarding> found, long nowNanos,
			BiConsumer<Forwarding, List<ForwardCommand>> rule) {
		List<ForwardCommand> commands = new ArrayList<>();
		found.ifPresent((forwarding) -> this.faults.confine(forwarding, nowNanos, commands,
				() -> rule.accept(forwarding, commands)));
		return commands;
	}

	private static void written(Forwarding forwarding, long bytes, List<ForwardCommand> commands) {
		forwarding.relay().written(bytes);
		if (forwarding.stage() == ForwardStage.ANSWERING) {
			forwarding.relay().flow().grant(forwarding.attempt(), commands);
		}
	}

	private List<ForwardCommand> ticketReplied(TicketReplied event, long nowNanos) {
		List<ForwardCommand> commands = new ArrayList<>();
		this.faults.confine(commands, () -> this.state.tickets().replied(event, nowNanos, commands));
		commands.addAll(current(event.ticket().attempt(), nowNanos, (forwarding, more) -> {
			if (forwarding.stage() != ForwardStage.RESERVING) {
				return;
			}
			if (event.outcome() == TicketOutcome.REFUSED) {
				this.attempts.reservationRefused(forwarding, event.ticket().instance(), nowNanos, more);
			}
			else if (this.state.tickets().allGranted(event.ticket().attempt())) {
				this.attempts.reserved(forwarding, nowNanos, more);
			}
		}));
		return commands;
	}

	private List<ForwardCommand> tick(long nowNanos) {
		List<ForwardCommand> commands = new ArrayList<>();
		List<Forwarding> held = new ArrayList<>();
		for (Forwarding forwarding : this.state.all()) {
			this.faults.confine(forwarding, nowNanos, commands, () -> tick(forwarding, held, nowNanos, commands));
		}
		this.faults.confine(commands, () -> this.sharing.order(held)
			.forEach((forwarding) -> dispatchConfined(forwarding, nowNanos, commands)));
		this.faults.confine(commands, () -> this.state.fleet().expire(nowNanos));
		this.faults.confine(commands, () -> this.state.tickets().tick(nowNanos, commands));
		this.faults.confine(commands, () -> this.crashes.publish(nowNanos, commands));
		this.faults.confine(commands, () -> this.state.reach().tick(nowNanos, commands));
		return commands;
	}

	private void tick(Forwarding forwarding, List<Forwarding> held, long nowNanos, List<ForwardCommand> commands) {
		if (forwarding.remainingMillis(nowNanos) <= DEADLINE_MARGIN_MILLIS) {
			this.attempts.expired(forwarding, nowNanos, commands);
		}
		else if (forwarding.stage() == ForwardStage.HELD && forwarding.rank().active()) {
			held.add(forwarding);
		}
		else if (forwarding.stage() == ForwardStage.HELD) {
			dispatch(forwarding, nowNanos, commands);
		}
		else if (forwarding.overdue(nowNanos)) {
			this.attempts.overdue(forwarding, nowNanos, commands);
		}
	}

	private PublishHeartbeat heartbeat(long nowNanos) {
		long version = this.state.routes().map((routes) -> routes.configuration().version()).orElse(0L);
		List<LoadEntry> load = this.state.all().stream().flatMap((forwarding) -> forwarding.load().stream()).toList();
		return new PublishHeartbeat(version, load, this.state.suspects().reports(nowNanos),
				this.limits.reports(nowNanos), this.state.reach().contactAgeMillis(nowNanos));
	}

	private List<ForwardCommand> drain(ForwardDraining event) {
		this.draining = true;
		if (event.refuseNew()) {
			this.state.refuseNew();
		}
		return List.of();
	}

	private List<ForwardCommand> graceEnded(long nowNanos) {
		this.draining = true;
		this.state.refuseNew();
		List<ForwardCommand> commands = new ArrayList<>();
		this.state.all()
			.forEach((forwarding) -> this.faults.confine(forwarding, nowNanos, commands,
					() -> this.attempts.graceEnded(forwarding, nowNanos, commands)));
		return commands;
	}

}
