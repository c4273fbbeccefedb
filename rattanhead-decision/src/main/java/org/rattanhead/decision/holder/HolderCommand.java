package org.rattanhead.decision.holder;

/**
 * A command that results from a decision of the lease holder.
 */
public sealed interface HolderCommand
		permits CallUpstream, AbortCall, SendSignal, PublishDigests, PollLoad, CountHolderEvent, HolderDrained {

}
