package org.rattanhead.client.internal;

import java.util.concurrent.RejectedExecutionException;

import io.undertow.client.ClientConnection;
import io.undertow.client.http.ClientConnections;
import io.undertow.connector.ByteBufferPool;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;

/**
 * A connection to a server with a bound on bytes that are no part of a reply.
 *
 * @param client the HTTP connection
 * @param framing the bound
 */
public record ServerConnection(ClientConnection client, FramingLimit framing) {

	/**
	 * Creates a connection on an open channel, on the I/O thread of the channel.
	 * @param channel the channel
	 * @param buffers buffers for reading
	 * @return the connection
	 */
	public static ServerConnection create(StreamConnection channel, ByteBufferPool buffers) {
		FramingLimit framing = new FramingLimit(channel.getSourceChannel().getConduit());
		channel.getSourceChannel().setConduit(framing);
		return new ServerConnection(ClientConnections.create(channel, buffers), framing);
	}

	boolean isOpen() {
		return this.client.isOpen();
	}

	/**
	 * Closes the connection on its I/O thread, or here if that thread has stopped.
	 */
	void close() {
		try {
			this.client.getIoThread().execute(() -> IoUtils.safeClose(this.client));
		}
		catch (RejectedExecutionException ex) {
			IoUtils.safeClose(this.client);
		}
	}

}
