package org.rattanhead.decision.forward;

/**
 * What a {@link ForwardDecider} wants done.
 */
public sealed interface ForwardCommand
		permits CallInstance, AbortInstance, BeginReply, ContinueReply, FinishReply, BreakReply, RefuseRequest,
		ReserveTicket, ReleaseTicket, TellLoadStarted, TellLoadEnded, TellBeat, NoteDecision, ForwardDrained {

}
