package org.rattanhead.decision.claim;

/**
 * An output of {@link ClaimDecider}, carried out by its duty.
 */
public sealed interface ClaimCommand permits AppendClaims, ReadClaims, SendVerdict {

}
