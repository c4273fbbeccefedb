package org.rattanhead.core.claim;

/**
 * The outcome of claiming a key for a request.
 */
public enum ClaimOutcome {

	/**
	 * The request may run; no other request with its key may, unless the claim is
	 * released.
	 */
	GRANTED,

	/** Another request with the key was answered; its answer is returned. */
	ANSWERED,

	/**
	 * Another request holds the key and has no recorded answer; it may still run or may
	 * have failed.
	 */
	HELD,

	/** The key was used for a request with different content. */
	KEY_REUSED,

	/**
	 * The log cannot be written or read, the ring of the claims is full, or the daemon
	 * that decides the claim cannot be reached.
	 */
	UNAVAILABLE

}
