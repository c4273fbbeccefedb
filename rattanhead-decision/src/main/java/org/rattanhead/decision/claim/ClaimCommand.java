package org.rattanhead.decision.claim;

/**
 * What the writer of claims wants done.
 */
public sealed interface ClaimCommand permits AppendClaims, ReadClaims, SendVerdict {

}
