package org.rattanhead.http.internal;

import java.io.IOException;
import java.util.concurrent.TimeUnit;

import io.undertow.io.IoCallback;
import io.undertow.io.Sender;
import io.undertow.server.HttpServerExchange;
import org.xnio.IoUtils;

/**
 * Ends the exchange after its response and closes the connection after a delay, so that a
 * caller that is still sending its body can read the response.
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
