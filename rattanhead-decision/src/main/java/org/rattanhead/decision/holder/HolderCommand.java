package org.rattanhead.decision.holder;

/**
 * What the lease holder wants done.
 */
public sealed interface HolderCommand
		permits CallUpstream, AbortCall, SendSignal, PublishDigests, PollLoad, CountHolderEvent, HolderDrained {

}
