package org.rattanhead.core.claim;

import org.rattanhead.core.request.RequestId;

/**
 * An order from an entry daemon to the daemon that writes claims.
 */
public sealed interface ClaimOrder permits AcquireClaim, ReleaseClaim, ReportAnswer {

	/**
	 * Returns the request that the order is about.
	 * @return the request
	 */
	RequestId request();

	/**
	 * Returns the key that the order is about.
	 * @return the key
	 */
	ClaimKey key();

}
