package org.rattanhead.decision.forward;

/**
 * An input of a {@link ForwardDecider}.
 */
public sealed interface ForwardEvent
		permits ForwardSubmitted, ForwardCallerDisconnected, AttemptAnswered, AttemptContinued, AttemptFinished,
		AttemptFailed, TicketReplied, ConfigurationApplied, InstancesChanged, DomainsEvacuated, PeerLoadStarted,
		PeerLoadEnded, PeerHeartbeatReceived, PeerCountChanged, PeerUnresponsive, ForwardTick, HeartbeatDue,
		ForwardDraining, PeerCrashesReceived, StoredSuspectsChanged, ReplyWritten, ShutdownStarted, GraceEnded,
		InstanceNoticed, PeerNoticeReceived, PeerLimitsReceived, InstanceProbed, PeerContactReported {

}
