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

import org.rattanhead.core.TurnQueue;

/**
 * A connection to a server with strict rules for replies and a bound on bytes that are no
 * part of a reply. It is closed at its channel: during a call, the close of the HTTP
 * library sends the server nothing and keeps the channel open until the server closes its
 * end, for up to 10 s.
 *
 * @param client the HTTP connection
 * @param channel the channel below the HTTP connection
 * @param framing the bound
 * @param replies reads the replies on the connection
 * @param turns the turns of the connections on the same I/O thread
 */
public record ServerConnection(ClientConnection client, StreamConnection channel, FramingLimit framing,
		ReplyConduit replies, TurnQueue turns) {

	private static final Logger LOGGER = LogManager.getLogger(ServerConnection.class);

	/**
	 * Creates a connection on an open channel, on the I/O thread of the channel.
	 * @param channel the channel
	 * @param buffers buffers for reading
	 * @param turns the turns of the connections on the same I/O thread
	 * @return the connection
	 */
	public static ServerConnection create(StreamConnection channel, ByteBufferPool buffers, TurnQueue turns) {
		FramingLimit framing = new FramingLimit(channel.getSourceChannel().getConduit());
		ReplyConduit replies = new ReplyConduit(framing, buffers);
		channel.getSourceChannel().setConduit(replies);
		return new ServerConnection(ClientConnections.create(channel, buffers), channel, framing, replies, turns);
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
			this.channel.getIoThread().execute(action);
		}
		catch (RejectedExecutionException ex) {
			IoUtils.safeClose(this.channel);
		}
	}

	/**
	 * Closes the connection, which carries no call, on its I/O thread, or here if that
	 * thread has stopped.
	 */
	void close() {
		execute(() -> IoUtils.safeClose(this.channel));
	}

	/**
	 * Resets the connection during a call, on its I/O thread, or closes it here if that
	 * thread has stopped. A server that reads, writes or waits for events of the
	 * connection sees at once that its caller has left.
	 */
	void reset() {
		execute(() -> {
			setAbortOnClose();
			IoUtils.safeClose(this.channel);
		});
	}

	private void setAbortOnClose() {
		try {
			this.channel.setOption(Options.CLOSE_ABORT, true);
		}
		catch (IOException ex) {
			LOGGER.debug("client: the connection is closed without a reset; {}", ex.getMessage());
		}
	}

}
