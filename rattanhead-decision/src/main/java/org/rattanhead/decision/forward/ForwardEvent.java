package org.rattanhead.decision.forward;

/**
 * What a {@link ForwardDecider} decides on.
 */
public sealed interface ForwardEvent permits ForwardSubmitted, ForwardCallerLeft, AttemptAnswered, AttemptContinued,
		AttemptFinished, AttemptBroken, TicketReplied, ConfigurationApplied, InstancesChanged, DomainsEvacuated,
		PeerLoadStarted, PeerLoadEnded, PeerBeatHeard, PeersCounted, PeerSilent, ForwardTick, BeatDue, ForwardDraining {

}
