package org.rattanhead.decision.forward;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.stream.IntStream;

import org.rattanhead.core.forward.AttemptFault;
import org.rattanhead.core.forward.Configuration;
import org.rattanhead.core.request.RequestId;

/**
 * What may happen to a request at any stage.
 */
enum StageEvent {

	/** Nothing more happens. */
	NONE((rig, request) -> {
	}),

	/** The caller disconnects. */
	CALLER_DISCONNECTED((rig, request) -> rig.handle(new ForwardCallerDisconnected(request))),

	/** The request is blocked, since instances crashed with it. */
	BLOCKED((rig, request) -> rig.handle(new StoredSuspectsChanged(List.of(1L, 7L), List.of()))),

	/** The grace period of a shutdown ends. */
	GRACE_ENDED((rig, request) -> rig.handle(new GraceEnded())),

	/** A shutdown begins that ends before the deadline. */
	DRAINING((rig, request) -> {
		rig.handle(new ShutdownStarted(rig.nanosIn(4_000)));
		rig.handle(new ForwardDraining(true));
	}),

	/** All instances are removed. */
	INSTANCES_REMOVED((rig, request) -> rig.handle(new InstancesChanged(List.of()))),

	/** The route and its service are dropped. */
	ROUTE_DROPPED((rig, request) -> rig
		.handle(new ConfigurationApplied(new Configuration(2, List.of(), Map.of(), true, Map.of(), 16_384, 4_096)))),

	/** All failure domains are evacuated. */
	EVACUATED((rig, request) -> rig.handle(new DomainsEvacuated(Set.of("domain-0", "domain-1", "domain-2")))),

	/** The connection to the instance breaks, and then that of each further attempt. */
	BROKEN((rig, request) -> IntStream.range(0, 6)
		.forEach((attempt) -> rig.all(CallInstance.class)
			.forEach((call) -> rig.failAttempt(call.call().attempt(), AttemptFault.BROKEN)))),

	/** Every reservation is refused. */
	RESERVATIONS_REFUSED((rig, request) -> rig.all(ReserveTicket.class)
		.forEach((order) -> rig.handle(new TicketReplied(order.ticket(), TicketOutcome.REFUSED)))),

	/** Every reservation is granted twice. */
	RESERVATIONS_GRANTED_TWICE((rig, request) -> IntStream.range(0, 2)
		.forEach((time) -> rig.all(ReserveTicket.class)
			.forEach((order) -> rig.handle(new TicketReplied(order.ticket(), TicketOutcome.GRANTED)))));

	private final BiConsumer<ForwardRig, RequestId> action;

	StageEvent(BiConsumer<ForwardRig, RequestId> action) {
		this.action = action;
	}

	void happen(ForwardRig rig, RequestId request) {
		this.action.accept(rig, request);
	}

}
