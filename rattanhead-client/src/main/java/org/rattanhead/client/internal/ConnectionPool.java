package org.rattanhead.client.internal;

import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import io.undertow.client.ClientConnection;
import org.xnio.IoUtils;

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
	public Optional<ClientConnection> take(InetSocketAddress address) {
		Optional<IdleConnection> found = this.idle.take(address);
		while (found.isPresent() && !found.get().usable(System.nanoTime())) {
			close(found.get().connection());
			found = this.idle.take(address);
		}
		return found.map(IdleConnection::connection);
	}

	/**
	 * Returns a connection to the pool, or closes it if the pool is full.
	 * @param address where it leads
	 * @param connection the connection, which carries no call
	 * @param keepMillis how long it may be reused, in milliseconds
	 */
	public void give(InetSocketAddress address, ClientConnection connection, long keepMillis) {
		IdleConnection offered = new IdleConnection(connection,
				System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(keepMillis));
		if (!connection.isOpen() || !this.idle.give(address, offered)) {
			close(connection);
		}
	}

	@Override
	public void close() {
		this.idle.takeAll().forEach((found) -> IoUtils.safeClose(found.connection()));
	}

	private static void close(ClientConnection connection) {
		connection.getIoThread().execute(() -> IoUtils.safeClose(connection));
	}

}
