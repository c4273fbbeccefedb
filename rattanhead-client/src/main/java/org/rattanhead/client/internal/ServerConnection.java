package org.rattanhead.client.internal;

import java.io.IOException;
import java.util.concurrent.RejectedExecutionException;

import io.undertow.client.ClientConnection;
import io.undertow.client.http.ClientConnections;
import io.undertow.connector.ByteBufferPool;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.xnio.IoUtils;
import org.xnio.Options;
import org.xnio.StreamConnection;

/**
 * A connection to a server with a bound on bytes that are no part of a reply.
 *
 * @param client the HTTP connection
 * @param framing the bound
 */
public record ServerConnection(ClientConnection client, FramingLimit framing) {

	private static final Logger LOGGER = LogManager.getLogger(ServerConnection.class);

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
		runOnThread(() -> IoUtils.safeClose(this.client));
	}

	/**
	 * Closes the connection with a reset. The orderly close of the HTTP library reads
	 * until the server closes, so a server without a reply yet would work on.
	 */
	void reset() {
		runOnThread(() -> {
			try {
				this.client.setOption(Options.CLOSE_ABORT, true);
			}
			catch (IOException ex) {
				LOGGER.debug("client: a connection is closed without a reset: {}", ex.getMessage());
			}
			IoUtils.safeClose(this.client);
		});
	}

	private void runOnThread(Runnable action) {
		try {
			this.client.getIoThread().execute(action);
		}
		catch (RejectedExecutionException ex) {
			action.run();
		}
	}

}
