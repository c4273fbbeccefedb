package org.rattanhead.client.internal;

import java.net.InetSocketAddress;
import java.util.Deque;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.atomic.AtomicInteger;

import io.undertow.client.ClientConnection;
import org.xnio.IoUtils;

/**
 * Idle connections by address, most recently used first.
 */
public final class ConnectionPool implements AutoCloseable {

	private static final int MAX_IDLE_CONNECTIONS = 4_096;

	private final ConcurrentMap<InetSocketAddress, Deque<ClientConnection>> idle = new ConcurrentHashMap<>();

	private final AtomicInteger idleCount = new AtomicInteger();

	/**
	 * Takes an idle connection.
	 * @param address where it leads
	 * @return an open connection, null if there is none
	 */
	public ClientConnection take(InetSocketAddress address) {
		Deque<ClientConnection> connections = this.idle.get(address);
		if (connections == null) {
			return null;
		}
		ClientConnection connection = connections.pollFirst();
		while (connection != null) {
			this.idleCount.decrementAndGet();
			if (connection.isOpen()) {
				return connection;
			}
			connection = connections.pollFirst();
		}
		return null;
	}

	/**
	 * Gives a connection back, or closes it if enough are idle.
	 * @param address where it leads
	 * @param connection the connection, without a call
	 */
	public void give(InetSocketAddress address, ClientConnection connection) {
		if (!connection.isOpen() || this.idleCount.get() >= MAX_IDLE_CONNECTIONS) {
			IoUtils.safeClose(connection);
			return;
		}
		this.idleCount.incrementAndGet();
		this.idle.computeIfAbsent(address, (key) -> new ConcurrentLinkedDeque<>()).addFirst(connection);
	}

	@Override
	public void close() {
		this.idle.values().forEach((connections) -> connections.forEach(IoUtils::safeClose));
		this.idle.clear();
	}

}
