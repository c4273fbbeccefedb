package org.rattanhead.client.internal;

/**
 * What determines the end of the body of a reply: RFC 9112, section 6.3.
 */
enum BodyEnd {

	/** The number of bytes is known; it is 0 if there is no body. */
	LENGTH,

	/** The body comes in chunks, of which the last one is empty. */
	LAST_CHUNK,

	/** The body ends with the connection. */
	CONNECTION

}
