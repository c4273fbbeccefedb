package org.rattanhead.client.internal;

import io.undertow.client.ClientConnection;

/**
 * A connection that carries no call.
 *
 * @param connection the connection
 * @param expiresNanos end of reuse on the monotonic clock, before the server may close
 * the idle connection
 */
record IdleConnection(ClientConnection connection, long expiresNanos) {

	boolean isUsable(long nowNanos) {
		return this.connection.isOpen() && nowNanos - this.expiresNanos < 0;
	}

}
