package org.rattanhead.decision.edge;

import org.rattanhead.core.claim.AcquireClaim;
import org.rattanhead.core.request.Work;

/**
 * A request that may not be repeated and waits for its claim.
 *
 * @param work the work to run once it is granted
 * @param ask the question
 * @param writer the daemon that was asked
 */
record ClaimingRequest(Work work, AcquireClaim ask, String writer) {

	ClaimingRequest askedAt(String newWriter) {
		return new ClaimingRequest(this.work, this.ask, newWriter);
	}

}
