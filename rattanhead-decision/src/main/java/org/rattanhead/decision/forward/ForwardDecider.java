package org.rattanhead.decision.forward;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.random.RandomGenerator;

import org.rattanhead.core.HandlerTable;
import org.rattanhead.core.forward.Configuration;
import org.rattanhead.core.forward.ForwardRequest;
import org.rattanhead.core.forward.LoadEntry;
import org.rattanhead.core.problem.ProblemException;
import org.rattanhead.core.request.AttemptId;
import org.rattanhead.decision.limit.FleetShare;

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
		this.state = new ForwardState(self, limits, random);
		this.admission = new ForwardAdmission(this.state);
		this.sharing = new FairSharing(this.state);
		this.dispatcher = new Dispatcher(this.state, this.sharing);
		this.attempts = new AttemptRules(this.state, this.dispatcher);
		this.crashes = new CrashRules(this.state, this.attempts);
		this.notices = new NoticeRules(this.state);
		this.limits = new LimitRules(this.state);
		registerRequests();
		registerFleet();
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
		this.crashes.applyChanges(nowNanos, commands);
		commands.removeIf((command) -> !this.notices.permits(command, nowNanos));
		this.limits.countOrders(commands, nowNanos);
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
		this.events.on(ForwardSubmitted.class, (event, now) -> submit(event.request(), now))
			.on(ForwardCallerDisconnected.class, (event, now) -> {
				List<ForwardCommand> commands = new ArrayList<>();
				this.state.find(event.request())
					.ifPresent((forwarding) -> this.attempts.callerDisconnected(forwarding, now, commands));
				return commands;
			})
			.on(AttemptAnswered.class, (event, now) -> current(event.attempt(), (forwarding, commands) -> {
				this.limits.answered(forwarding, event.head(), now, commands);
				this.attempts.answered(forwarding, event.head(), now, commands);
			}))
			.on(AttemptContinued.class, (event, now) -> current(event.attempt(),
					(forwarding, commands) -> this.attempts.continued(forwarding, event.bytes(), now, commands)))
			.on(AttemptFinished.class,
					(event, now) -> current(event.attempt(),
							(forwarding, commands) -> this.attempts.finished(forwarding, now, commands)))
			.on(AttemptFailed.class,
					(event, now) -> current(event.attempt(),
							(forwarding, commands) -> this.attempts.connectionFailed(forwarding, event.fault(),
									event.detail(), now, commands)))
			.on(ReplyWritten.class, (event, now) -> written(event))
			.on(TicketReplied.class, this::ticketReplied)
			.on(ForwardTick.class, (event, now) -> tick(now))
			.on(HeartbeatDue.class, (event, now) -> {
				List<ForwardCommand> commands = new ArrayList<>(List.of(heartbeat(now)));
				if (this.state.fleet().even()) {
					commands.addAll(BalanceReports.of(this.state.fleet().all()));
				}
				return commands;
			})
			.on(ShutdownStarted.class, (event, now) -> changed(() -> this.state.shutdown(event.endNanos())))
			.on(ForwardDraining.class, (event, now) -> drain(event))
			.on(GraceEnded.class, (event, now) -> graceEnded(now));
	}

	private void registerFleet() {
		UpstreamFleet fleet = this.state.fleet();
		this.events.on(ConfigurationApplied.class, (event, now) -> configure(event.configuration()))
			.on(InstancesChanged.class, (event, now) -> changed(() -> fleet.update(event.instances(), now)))
			.on(InstanceNoticed.class, (event, now) -> {
				List<ForwardCommand> commands = new ArrayList<>(this.notices.noticed(event, now));
				commands.addAll(this.limits.noticed(event, now));
				return commands;
			})
			.on(PeerLimitsReceived.class, (event, now) -> this.limits.reported(event.reports(), now))
			.on(PeerNoticeReceived.class, this.notices::receivedFromPeer)
			.on(DomainsEvacuated.class, (event, now) -> changed(() -> fleet.evacuate(event.domains())))
			.on(PeerLoadStarted.class,
					(event, now) -> messageReceived(event.host(), now,
							() -> event.entries().forEach((entry) -> fleet.place(event.host(), entry, now))))
			.on(PeerLoadEnded.class,
					(event, now) -> messageReceived(event.host(), now,
							() -> event.keys().forEach((key) -> fleet.remove(event.host(), key, now))))
			.on(PeerHeartbeatReceived.class, (event, now) -> {
				messageReceived(event.host(), now, () -> {
					fleet.replace(event.host(), event.load(), now);
					this.state.suspects().receive(event.crashes(), now);
				});
				return this.limits.reported(event.limits(), now);
			})
			.on(PeerCrashesReceived.class,
					(event, now) -> changed(() -> this.state.suspects().receive(event.reports(), now)))
			.on(StoredSuspectsChanged.class, (event, now) -> changed(() -> storedSuspectsChanged(event, now)))
			.on(PeerUnresponsive.class, (event, now) -> changed(() -> fleet.lost(event.host(), now)))
			.on(PeerCountChanged.class, (event, now) -> changed(() -> {
				fleet.daemons(event.daemons());
				fleet.turns().share(new FleetShare(event.daemons(), event.heard()));
				fleet.fleetDaemons(event.fleet());
				this.state.fleetDaemons(event.fleet());
				this.state.budget().daemons(event.daemons());
			}));
	}

	private List<ForwardCommand> submit(ForwardRequest request, long nowNanos) {
		List<ForwardCommand> commands = new ArrayList<>();
		try {
			Forwarding forwarding = this.admission.admit(request, nowNanos);
			this.state.add(forwarding);
			this.state.budget().request(forwarding.service().name(), nowNanos);
			dispatch(forwarding, nowNanos, commands);
		}
		catch (ProblemException ex) {
			commands.add(new LogDecision("refused", request.id().value(), request.callerAttempt(), "",
					ex.problem().kind().slug() + ": " + ex.problem().detail(), List.of(DecisionInput.of("configuration",
							this.state.routes().map((routes) -> routes.configuration().version()).orElse(0L)))));
			commands.add(new RefuseRequest(request.id(), ex.problem()));
		}
		return commands;
	}

	private void dispatch(Forwarding forwarding, long nowNanos, List<ForwardCommand> commands) {
		DispatchResult result = this.dispatcher.dispatch(forwarding, nowNanos, commands);
		if (result.refused()) {
			this.attempts.refused(forwarding, result, nowNanos, commands);
		}
	}

	private List<ForwardCommand> current(AttemptId attempt, BiConsumer<Forwarding, List<ForwardCommand>> rule) {
		List<ForwardCommand> commands = new ArrayList<>();
		this.state.current(attempt).ifPresent((forwarding) -> rule.accept(forwarding, commands));
		return commands;
	}

	private List<ForwardCommand> written(ReplyWritten event) {
		List<ForwardCommand> commands = new ArrayList<>();
		this.state.find(event.request()).ifPresent((forwarding) -> {
			ReplyFlow flow = forwarding.relay().flow();
			flow.written(event.bytes());
			if (forwarding.stage() == ForwardStage.ANSWERING) {
				flow.grant(forwarding.attempt(), commands);
			}
		});
		return commands;
	}

	private List<ForwardCommand> ticketReplied(TicketReplied event, long nowNanos) {
		List<ForwardCommand> commands = new ArrayList<>();
		this.state.tickets().replied(event, nowNanos, commands);
		this.state.current(event.ticket().attempt())
			.filter((forwarding) -> forwarding.stage() == ForwardStage.RESERVING)
			.ifPresent((forwarding) -> {
				if (event.outcome() == TicketOutcome.REFUSED) {
					this.attempts.reservationRefused(forwarding, event.ticket().instance(), nowNanos, commands);
				}
				else if (this.state.tickets().allGranted(event.ticket().attempt())) {
					this.attempts.reserved(forwarding, nowNanos, commands);
				}
			});
		return commands;
	}

	private List<ForwardCommand> tick(long nowNanos) {
		List<ForwardCommand> commands = new ArrayList<>();
		List<Forwarding> held = new ArrayList<>();
		for (Forwarding forwarding : this.state.all()) {
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
		this.sharing.order(held).forEach((forwarding) -> dispatch(forwarding, nowNanos, commands));
		this.state.fleet().expire(nowNanos);
		this.state.tickets().tick(nowNanos, commands);
		this.crashes.publish(nowNanos, commands);
		return commands;
	}

	private PublishHeartbeat heartbeat(long nowNanos) {
		long version = this.state.routes().map((routes) -> routes.configuration().version()).orElse(0L);
		List<LoadEntry> load = this.state.all().stream().flatMap((forwarding) -> forwarding.load().stream()).toList();
		return new PublishHeartbeat(version, load, this.state.suspects().reports(nowNanos),
				this.limits.reports(nowNanos));
	}

	private List<ForwardCommand> configure(Configuration configuration) {
		long before = this.state.routes().map((routes) -> routes.configuration().version()).orElse(Long.MIN_VALUE);
		boolean newer = configuration.version() > before;
		if (newer) {
			this.state.routes(new RouteTable(configuration));
			this.state.fleet().turns().configure(configuration.services());
		}
		return List.of(new LogDecision("configuration", "", "", "", newer ? "in force" : "ignored as older",
				List.of(DecisionInput.of("version", configuration.version()),
						DecisionInput.of("routes", configuration.routes().size()))));
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
		this.state.all().forEach((forwarding) -> this.attempts.graceEnded(forwarding, nowNanos, commands));
		return commands;
	}

	private void storedSuspectsChanged(StoredSuspectsChanged event, long nowNanos) {
		this.state.storedSuspects().removeAll(event.deleted());
		this.state.storedSuspects().addAll(event.stored());
		this.state.suspects().restore(event.stored(), nowNanos);
	}

	private List<ForwardCommand> messageReceived(String host, long nowNanos, Runnable change) {
		this.state.fleet().activity().messageReceived(host, nowNanos);
		return changed(change);
	}

	private static List<ForwardCommand> changed(Runnable change) {
		change.run();
		return List.of();
	}

}
