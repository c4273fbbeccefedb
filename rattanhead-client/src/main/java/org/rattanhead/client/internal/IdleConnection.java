package org.rattanhead.client.internal;

import io.undertow.client.ClientConnection;

/**
 * A connection that carries no call.
 *
 * @param connection the connection
 * @param untilNanos end of reuse on the monotonic clock, before the server may close the
 * idle connection
 */
record IdleConnection(ClientConnection connection, long untilNanos) {

	boolean usable(long nowNanos) {
		return this.connection.isOpen() && nowNanos - this.untilNanos < 0;
	}

}
