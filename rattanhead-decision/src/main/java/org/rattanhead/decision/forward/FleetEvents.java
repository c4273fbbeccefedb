package org.rattanhead.decision.forward;

import java.util.ArrayList;
import java.util.List;

import org.rattanhead.core.HandlerTable;
import org.rattanhead.core.forward.Configuration;
import org.rattanhead.decision.limit.FleetShare;

/**
 * Handles the events that change what this daemon knows: the configuration, the
 * instances, and what other daemons report.
 */
final class FleetEvents {

	private final ForwardState state;

	private final NoticeRules notices;

	private final LimitRules limits;

	FleetEvents(ForwardState state, NoticeRules notices, LimitRules limits) {
		this.state = state;
		this.notices = notices;
		this.limits = limits;
	}

	/**
	 * Registers the handlers.
	 * @param events receives them
	 */
	void register(HandlerTable<ForwardEvent, List<ForwardCommand>> events) {
		UpstreamFleet fleet = this.state.fleet();
		events.on(ConfigurationApplied.class, (event, now) -> configure(event.configuration()))
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
			.on(PeerContactReported.class, (event, now) -> this.state.reach().peerReported(event, now))
			.on(PeerUnresponsive.class, (event, now) -> changed(() -> peerLost(event.host(), now)))
			.on(PeerCountChanged.class, (event, now) -> changed(() -> {
				fleet.daemons(event.daemons());
				fleet.turns().share(new FleetShare(event.daemons(), event.heard()));
				fleet.fleetDaemons(event.fleet());
				this.state.fleetDaemons(event.fleet());
				this.state.budget().daemons(event.daemons());
			}));
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

	private void storedSuspectsChanged(StoredSuspectsChanged event, long nowNanos) {
		this.state.storedSuspects().removeAll(event.deleted());
		this.state.storedSuspects().addAll(event.stored());
		this.state.suspects().restore(event.stored(), nowNanos);
	}

	private void peerLost(String host, long nowNanos) {
		this.state.fleet().lost(host, nowNanos);
		this.state.reach().peerLost(host);
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
