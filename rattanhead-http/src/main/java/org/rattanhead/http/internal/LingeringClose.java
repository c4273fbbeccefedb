package org.rattanhead.http.internal;

import java.io.IOException;
import java.util.concurrent.TimeUnit;

import io.undertow.io.IoCallback;
import io.undertow.io.Sender;
import io.undertow.server.HttpServerExchange;
import org.xnio.IoUtils;

/**
 * Ends the exchange after its answer, and closes the connection a little later, so that a
 * caller that still sends its body can read the answer.
 */
final class LingeringClose implements IoCallback {

	private static final long LINGER_MILLIS = 500;

	@Override
	public void onComplete(HttpServerExchange exchange, Sender sender) {
		exchange.getIoThread()
			.executeAfter(() -> IoUtils.safeClose(exchange.getConnection()), LINGER_MILLIS, TimeUnit.MILLISECONDS);
		exchange.endExchange();
	}

	@Override
	public void onException(HttpServerExchange exchange, Sender sender, IOException exception) {
		IoUtils.safeClose(exchange.getConnection());
	}

}
