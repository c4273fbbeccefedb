package org.rattanhead.client.internal;

import io.undertow.client.ClientConnection;

/**
 * A connection without a call.
 *
 * @param connection the connection
 * @param untilNanos when it is no longer used, on the monotonic clock, since the other
 * side may close it
 */
record IdleConnection(ClientConnection connection, long untilNanos) {

	boolean usable(long nowNanos) {
		return this.connection.isOpen() && nowNanos - this.untilNanos < 0;
	}

}
