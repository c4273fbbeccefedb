package org.rattanhead.client.internal;

import java.util.concurrent.RejectedExecutionException;

import io.undertow.client.ClientConnection;
import io.undertow.client.http.ClientConnections;
import io.undertow.connector.ByteBufferPool;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;

import org.rattanhead.core.TurnQueue;

/**
 * A connection to a server with a bound on bytes that are no part of a reply.
 *
 * @param client the HTTP connection
 * @param framing the bound
 * @param turns the turns of the connections on the same I/O thread
 */
public record ServerConnection(ClientConnection client, FramingLimit framing, TurnQueue turns) {

	/**
	 * Creates a connection on an open channel, on the I/O thread of the channel.
	 * @param channel the channel
	 * @param buffers buffers for reading
	 * @param turns the turns of the connections on the same I/O thread
	 * @return the connection
	 */
	public static ServerConnection create(StreamConnection channel, ByteBufferPool buffers, TurnQueue turns) {
		FramingLimit framing = new FramingLimit(channel.getSourceChannel().getConduit());
		channel.getSourceChannel().setConduit(framing);
		return new ServerConnection(ClientConnections.create(channel, buffers), framing, turns);
	}

	boolean isOpen() {
		return this.client.isOpen();
	}

	/**
	 * Runs an action on the I/O thread of the connection. If that thread has stopped,
	 * closes the connection instead.
	 * @param action the action
	 */
	void execute(Runnable action) {
		try {
			this.client.getIoThread().execute(action);
		}
		catch (RejectedExecutionException ex) {
			IoUtils.safeClose(this.client);
		}
	}

	/**
	 * Closes the connection on its I/O thread, or here if that thread has stopped.
	 */
	void close() {
		execute(() -> IoUtils.safeClose(this.client));
	}

}
