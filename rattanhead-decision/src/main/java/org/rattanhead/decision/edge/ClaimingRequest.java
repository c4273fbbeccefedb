package org.rattanhead.decision.edge;

import org.rattanhead.core.claim.AcquireClaim;
import org.rattanhead.core.request.Work;

/**
 * A request that may not be repeated and waits for the verdict on its claim.
 *
 * @param work the work to run once the claim is granted
 * @param order the claim order
 * @param writer the daemon that the order was sent to
 */
record ClaimingRequest(Work work, AcquireClaim order, String writer) {

	ClaimingRequest withWriter(String newWriter) {
		return new ClaimingRequest(this.work, this.order, newWriter);
	}

}
