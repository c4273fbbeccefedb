package org.rattanhead.decision.edge;

import org.rattanhead.core.claim.AskClaim;
import org.rattanhead.core.request.Work;

/**
 * A request that may not be repeated and waits for the verdict on its claim.
 *
 * @param work the work to run once the claim is granted
 * @param ask the claim order
 * @param writer the daemon that the order was sent to
 */
record ClaimingRequest(Work work, AskClaim ask, String writer) {

	ClaimingRequest askedAt(String newWriter) {
		return new ClaimingRequest(this.work, this.ask, newWriter);
	}

}
