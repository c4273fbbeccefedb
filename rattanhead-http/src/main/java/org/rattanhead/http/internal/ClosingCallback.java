package org.rattanhead.http.internal;

import java.io.IOException;

import io.undertow.io.IoCallback;
import io.undertow.io.Sender;
import io.undertow.server.HttpServerExchange;

/**
 * Ends the exchange and then closes its connection, whether the answer could be sent or
 * not.
 */
final class ClosingCallback implements IoCallback {

	private final Runnable close;

	ClosingCallback(Runnable close) {
		this.close = close;
	}

	@Override
	public void onComplete(HttpServerExchange exchange, Sender sender) {
		exchange.endExchange();
		this.close.run();
	}

	@Override
	public void onException(HttpServerExchange exchange, Sender sender, IOException exception) {
		this.close.run();
	}

}
