package org.rattanhead.http.internal;

import org.rattanhead.core.problem.Problem;
import org.rattanhead.core.problem.ProblemKind;

/**
 * Limits of one request body.
 *
 * @param maxBytes the size of the largest body, in bytes
 * @param timeoutMillis the time within which it must arrive, in milliseconds
 */
record RequestBodyLimits(long maxBytes, long timeoutMillis) {

	/**
	 * Returns the problem of a body above the limit.
	 * @return the problem
	 */
	Problem tooLarge() {
		return Problem.notRun(ProblemKind.BODY_TOO_LARGE, "The body exceeds " + this.maxBytes + " bytes.");
	}

}
