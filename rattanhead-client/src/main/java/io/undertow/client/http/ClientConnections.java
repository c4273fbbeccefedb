package io.undertow.client.http;

import io.undertow.client.ClientConnection;
import io.undertow.connector.ByteBufferPool;
import org.xnio.OptionMap;
import org.xnio.StreamConnection;

/**
 * Creates Undertow's HTTP client connections on channels that the caller has opened and
 * prepared. Undertow itself only offers to open the channel as well, so this class is in
 * its package.
 */
public final class ClientConnections {

	private ClientConnections() {
	}

	/**
	 * Creates a connection. Must be called on the I/O thread of the channel.
	 * @param channel the open channel
	 * @param buffers buffers for reading
	 * @return the connection
	 */
	public static ClientConnection create(StreamConnection channel, ByteBufferPool buffers) {
		return new HttpClientConnection(channel, OptionMap.EMPTY, buffers);
	}

}
