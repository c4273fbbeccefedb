package org.rattanhead.decision.claim;

import java.util.Optional;

import org.rattanhead.core.claim.KeptAnswer;
import org.rattanhead.core.request.RequestId;

/**
 * The claim in force on a key.
 *
 * @param digest digest of the call
 * @param request the request that holds the key
 * @param answer the answer to that request, if it is recorded
 * @param takenOffset the offset of the record from which this daemon derived the claim
 * @param seenNanos when this daemon first read a record of the claim
 */
record HeldClaim(String digest, RequestId request, Optional<KeptAnswer> answer, long takenOffset, long seenNanos) {

	HeldClaim withAnswer(KeptAnswer newAnswer) {
		return new HeldClaim(this.digest, this.request, Optional.of(newAnswer), this.takenOffset, this.seenNanos);
	}

}
