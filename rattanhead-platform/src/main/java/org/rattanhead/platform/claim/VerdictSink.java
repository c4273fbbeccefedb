package org.rattanhead.platform.claim;

import org.rattanhead.core.claim.ClaimVerdict;

/**
 * Takes verdicts on their way to entry daemons.
 */
@FunctionalInterface
public interface VerdictSink {

	/**
	 * Sends a verdict.
	 * @param toHost the entry daemon
	 * @param verdict the verdict
	 */
	void send(String toHost, ClaimVerdict verdict);

}
