package org.rattanhead.server;

/**
 * How a caller sees a response end.
 */
enum ObservedEnd {

	/** With the last chunk: complete. */
	LAST_CHUNK,

	/** With the connection, before the last chunk: broken off. */
	LAST_CHUNK_MISSING,

	/** With the connection, and neither a length nor chunks: complete. */
	CLOSE,

	/** With a reset: broken off. */
	RESET

}
