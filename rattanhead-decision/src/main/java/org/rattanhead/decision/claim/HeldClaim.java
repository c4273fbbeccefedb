package org.rattanhead.decision.claim;

import java.util.Optional;

import org.rattanhead.core.claim.KeptAnswer;
import org.rattanhead.core.request.RequestId;

/**
 * Who holds a key.
 *
 * @param digest digest of what was run
 * @param request the request that holds it
 * @param answer its answer, if there is one
 * @param takenOffset the offset of the record that this daemon concluded it from
 * @param seenNanos when this daemon first read of it
 */
record HeldClaim(String digest, RequestId request, Optional<KeptAnswer> answer, long takenOffset, long seenNanos) {

	HeldClaim answered(KeptAnswer newAnswer) {
		return new HeldClaim(this.digest, this.request, Optional.of(newAnswer), this.takenOffset, this.seenNanos);
	}

}
