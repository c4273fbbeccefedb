package org.rattanhead.server;

/**
 * How a response is to end once everything is written.
 */
enum ResponseEnd {

	/** More may follow. */
	OPEN,

	/** The response is whole. */
	COMPLETE,

	/** The response is broken off; the connection is closed without a clean end. */
	ABORTED

}
