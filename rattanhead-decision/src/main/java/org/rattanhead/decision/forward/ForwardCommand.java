package org.rattanhead.decision.forward;

/**
 * A command that a {@link ForwardDecider} returns for execution.
 */
public sealed interface ForwardCommand permits CallInstance, AbortInstance, BeginReply, ContinueReply, FinishReply,
		BreakReply, RefuseRequest, ReserveTicket, ReleaseTicket, PublishLoadStarted, PublishLoadEnded, PublishHeartbeat,
		NoteDecision, ForwardDrained {

}
