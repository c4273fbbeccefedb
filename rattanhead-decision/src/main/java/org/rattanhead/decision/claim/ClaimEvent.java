package org.rattanhead.decision.claim;

/**
 * An input of {@link ClaimDecider}.
 */
public sealed interface ClaimEvent
		permits ClaimOrderReceived, ClaimsAppended, ClaimsRead, ClaimsReadFailed, ClaimWriterChanged, ClaimTick {

}
