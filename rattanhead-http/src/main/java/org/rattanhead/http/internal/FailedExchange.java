package org.rattanhead.http.internal;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.StatusCodes;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.xnio.IoUtils;

/**
 * Ends exchanges whose handling failed, so that no caller waits for a reply that nobody
 * will write. Errors count as well: the I/O thread would log them, or end with them.
 */
final class FailedExchange {

	private static final Logger LOGGER = LogManager.getLogger(FailedExchange.class);

	private FailedExchange() {
	}

	/**
	 * Runs a step of the handling on the I/O thread of the exchange.
	 * @param exchange the exchange, which ends with status 500, or with its connection if
	 * its response has started, if the step fails
	 * @param step the step
	 */
	static void confine(HttpServerExchange exchange, Runnable step) {
		try {
			step.run();
		}
		catch (RuntimeException | Error ex) {
			end(exchange);
			LOGGER.error("http: a request cannot be handled; its caller gets status 500 or a closed connection", ex);
		}
	}

	private static void end(HttpServerExchange exchange) {
		try {
			if (!exchange.isResponseStarted()) {
				exchange.setStatusCode(StatusCodes.INTERNAL_SERVER_ERROR);
				exchange.setPersistent(false);
				exchange.endExchange();
				return;
			}
		}
		catch (RuntimeException | Error ex) {
			LOGGER.debug("http: the connection is closed without a reply", ex);
		}
		IoUtils.safeClose(exchange.getConnection());
	}

}
