package org.rattanhead.server;

/**
 * How a response ends after its pending bytes are written.
 */
enum ResponseEnd {

	/** More of the body may follow. */
	OPEN,

	/** The response is complete and ends cleanly. */
	COMPLETE,

	/** The response is aborted: the connection is closed without a clean end. */
	ABORTED

}
