package org.rattanhead.decision.forward;

/**
 * An input of a {@link ForwardDecider}.
 */
public sealed interface ForwardEvent
		permits ForwardSubmitted, ForwardCallerLeft, AttemptAnswered, AttemptContinued, AttemptFinished, AttemptBroken,
		TicketReplied, ConfigurationApplied, InstancesChanged, DomainsEvacuated, PeerLoadStarted, PeerLoadEnded,
		PeerHeartbeatReceived, PeerCountChanged, PeerUnresponsive, ForwardTick, HeartbeatDue, ForwardDraining {

}
