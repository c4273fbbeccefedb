package org.rattanhead.core.claim;

/**
 * Whether a request may run.
 */
public enum ClaimOutcome {

	/** It may run; no other request with its key ever may, unless it is released. */
	GRANTED,

	/** Another request with its key was answered; the answer is repeated. */
	ANSWERED,

	/**
	 * Another request with its key holds it and has no answer, or never will have one.
	 */
	HELD,

	/** The key was used for something else. */
	KEY_REUSED,

	/** The log cannot be written or read. */
	UNAVAILABLE

}
