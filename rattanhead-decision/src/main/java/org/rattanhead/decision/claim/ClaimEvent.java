package org.rattanhead.decision.claim;

/**
 * What claims are decided on.
 */
public sealed interface ClaimEvent
		permits ClaimOrderReceived, ClaimsAppended, ClaimsRead, ClaimsReadFailed, ClaimWriterChanged, ClaimTick {

}
