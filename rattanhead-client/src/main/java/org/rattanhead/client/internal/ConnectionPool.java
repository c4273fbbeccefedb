package org.rattanhead.client.internal;

import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Idle connections by remote address.
 */
public final class ConnectionPool implements AutoCloseable {

	private static final int MAX_IDLE_CONNECTIONS = 1_024;

	private final IdlePool<InetSocketAddress, IdleConnection> idle = new IdlePool<>(MAX_IDLE_CONNECTIONS);

	/**
	 * Removes an idle connection from the pool. Closes expired connections found first.
	 * @param address where it leads
	 * @return an open connection, empty if there is none
	 */
	public Optional<ServerConnection> acquire(InetSocketAddress address) {
		Optional<IdleConnection> candidate = this.idle.acquire(address);
		while (candidate.isPresent() && !candidate.get().isUsable(System.nanoTime())) {
			candidate.get().connection().close();
			candidate = this.idle.acquire(address);
		}
		return candidate.map(IdleConnection::connection);
	}

	/**
	 * Returns a connection to the pool, or closes it if the pool is full.
	 * @param address where it leads
	 * @param connection the connection, which carries no call
	 * @param reuseMillis how long it may be reused, in milliseconds
	 */
	public void release(InetSocketAddress address, ServerConnection connection, long reuseMillis) {
		IdleConnection released = new IdleConnection(connection,
				System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(reuseMillis));
		if (!connection.isOpen() || !this.idle.release(address, released)) {
			connection.close();
		}
	}

	@Override
	public void close() {
		this.idle.drain().forEach((pooled) -> pooled.connection().close());
	}

}
