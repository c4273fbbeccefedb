package org.rattanhead.client.internal;

import java.net.InetSocketAddress;
import java.util.Optional;

import io.undertow.client.ClientConnection;
import org.xnio.IoUtils;

/**
 * Idle connections by address.
 */
public final class ConnectionPool implements AutoCloseable {

	private static final int MAX_IDLE_CONNECTIONS = 4_096;

	private final IdlePool<InetSocketAddress, ClientConnection> idle = new IdlePool<>(MAX_IDLE_CONNECTIONS);

	/**
	 * Takes an idle connection.
	 * @param address where it leads
	 * @return an open connection, empty if there is none
	 */
	public Optional<ClientConnection> take(InetSocketAddress address) {
		Optional<ClientConnection> connection = this.idle.take(address);
		while (connection.isPresent() && !connection.get().isOpen()) {
			connection = this.idle.take(address);
		}
		return connection;
	}

	/**
	 * Gives a connection back, or closes it if enough are idle.
	 * @param address where it leads
	 * @param connection the connection, without a call
	 */
	public void give(InetSocketAddress address, ClientConnection connection) {
		if (!connection.isOpen() || !this.idle.give(address, connection)) {
			IoUtils.safeClose(connection);
		}
	}

	@Override
	public void close() {
		this.idle.takeAll().forEach(IoUtils::safeClose);
	}

}
