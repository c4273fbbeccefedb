package org.rattanhead.daemon.soak;

/**
 * How a {@link FaultProxy} handles the bytes of its connections.
 */
enum LinkState {

	/** Forwards bytes. */
	OPEN,

	/** Forwards bytes with a delay. */
	SLOW,

	/**
	 * Discards bytes in both directions. A connection that transfers bytes in this state
	 * stays unresponsive after the fault has ended.
	 */
	DISCARD_ALL,

	/**
	 * Forwards requests and discards answers. A connection on which an answer is
	 * discarded stays unresponsive after the fault has ended.
	 */
	DISCARD_ANSWERS,

	/** Resets open and new connections. */
	RESET

}
