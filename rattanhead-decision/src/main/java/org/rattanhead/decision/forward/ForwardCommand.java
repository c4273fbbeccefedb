package org.rattanhead.decision.forward;

/**
 * A command that a {@link ForwardDecider} returns for execution.
 */
public sealed interface ForwardCommand permits CallInstance, AbortAttempt, GrantBytes, BeginReply, ContinueReply,
		FinishReply, AbortReply, RefuseRequest, ReserveTicket, ReleaseTicket, PublishLoadStarted, PublishLoadEnded,
		PublishHeartbeat, LogDecision, ForwardDrained, PublishCrashes, StoreSuspect, DeleteSuspect, PublishNotice,
		PublishLimits, ReportBalance, ProbeInstance, PublishReach {

}
