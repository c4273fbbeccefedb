package org.rattanhead.client.wire;

/**
 * What a server does with its connection after a reply.
 */
public enum WireEnd {

	/** Reads the next request. */
	KEEPS,

	/** Sends the reply once more, and then reads the next request. */
	REPEATS,

	/** Closes the connection. */
	CLOSES,

	/** Resets the connection. */
	RESETS

}
