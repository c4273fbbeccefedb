package org.rattanhead.platform.claim;

import org.rattanhead.core.claim.ClaimVerdict;

/**
 * Sends verdicts to entry daemons.
 */
@FunctionalInterface
public interface VerdictSink {

	/**
	 * Sends a verdict.
	 * @param toHost the host of the entry daemon
	 * @param verdict the verdict
	 */
	void send(String toHost, ClaimVerdict verdict);

}
