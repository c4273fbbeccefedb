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
 * stream closes the connection, so that its close listeners run; bytes of a pipelined
 * request are returned to the connection. Confined to the I/O thread of the connection.
 */
final class CallerWatch implements ReadReadyHandler {

	private final HttpServerConnection connection;

	private final StreamSourceConduit source;

	private boolean stopped;

	private CallerWatch(HttpServerConnection connection) {
		this.connection = connection;
		this.source = connection.getOriginalSourceConduit();
	}

	static CallerWatch start(HttpServerExchange exchange) {
		CallerWatch watch = new CallerWatch((HttpServerConnection) exchange.getConnection());
		if (watch.connection.getExtraBytes() == null) {
			watch.source.setReadReadyHandler(watch);
			watch.source.resumeReads();
		}
		else {
			watch.stopped = true;
		}
		return watch;
	}

	/**
	 * Returns the connection to the server. Must be called before the response ends.
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
		boolean kept = false;
		try {
			int count = this.source.read(pooled.getBuffer());
			if (count < 0) {
				gone();
			}
			else if (count > 0) {
				pooled.getBuffer().flip();
				this.connection.ungetRequestBytes(pooled);
				kept = true;
				stop();
			}
		}
		catch (IOException ex) {
			gone();
		}
		finally {
			if (!kept) {
				pooled.close();
			}
		}
	}

	private void gone() {
		stop();
		IoUtils.safeClose(this.connection);
	}

	@Override
	public void forceTermination() {
		gone();
	}

	@Override
	public void terminated() {
		gone();
	}

}
