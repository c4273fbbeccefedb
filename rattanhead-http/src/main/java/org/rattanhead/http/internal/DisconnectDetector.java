package org.rattanhead.http.internal;

import java.io.IOException;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import org.xnio.IoUtils;
import org.xnio.conduits.ReadReadyHandler;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Detects that a caller disconnects while it awaits its response, by reading from the
 * connection, since Undertow does not read until the response is written. The end of the
 * stream or a read error closes the connection, so that its close listeners run. Bytes of
 * a pipelined request are handed back to the connection and end the detection; it does
 * not start if such bytes are already buffered. Confined to the I/O thread of the
 * connection.
 */
final class DisconnectDetector implements ReadReadyHandler {

	private final HttpServerConnection connection;

	private final StreamSourceConduit source;

	private boolean stopped;

	private DisconnectDetector(HttpServerConnection connection) {
		this.connection = connection;
		this.source = connection.getOriginalSourceConduit();
	}

	static DisconnectDetector start(HttpServerExchange exchange) {
		DisconnectDetector detector = new DisconnectDetector((HttpServerConnection) exchange.getConnection());
		if (detector.connection.getExtraBytes() == null) {
			detector.source.setReadReadyHandler(detector);
			detector.source.resumeReads();
		}
		else {
			detector.stopped = true;
		}
		return detector;
	}

	/**
	 * Ends the detection and restores the read handler of the server. Must be called
	 * before the response ends.
	 */
	void stop() {
		if (!this.stopped) {
			this.stopped = true;
			this.source.suspendReads();
			this.source.setReadReadyHandler(
					new ReadReadyHandler.ChannelListenerHandler<>(this.connection.getChannel().getSourceChannel()));
		}
	}

	@Override
	public void readReady() {
		if (this.stopped) {
			return;
		}
		PooledByteBuffer pooled = this.connection.getByteBufferPool().allocate();
		boolean bufferHandedOver = false;
		try {
			int count = this.source.read(pooled.getBuffer());
			if (count < 0) {
				closeConnection();
			}
			else if (count > 0) {
				pooled.getBuffer().flip();
				this.connection.ungetRequestBytes(pooled);
				bufferHandedOver = true;
				stop();
			}
		}
		catch (IOException ex) {
			closeConnection();
		}
		finally {
			if (!bufferHandedOver) {
				pooled.close();
			}
		}
	}

	private void closeConnection() {
		stop();
		IoUtils.safeClose(this.connection);
	}

	@Override
	public void forceTermination() {
		closeConnection();
	}

	@Override
	public void terminated() {
		closeConnection();
	}

}
