package org.rattanhead.client.internal;

/**
 * A connection that carries no call.
 *
 * @param connection the connection
 * @param expiresNanos end of reuse on the monotonic clock, before the server may close
 * the idle connection
 */
record IdleConnection(ServerConnection connection, long expiresNanos) {

	boolean isUsable(long nowNanos) {
		return this.connection.isOpen() && nowNanos - this.expiresNanos < 0;
	}

}
