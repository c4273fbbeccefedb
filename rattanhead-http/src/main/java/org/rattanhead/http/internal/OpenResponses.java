package org.rattanhead.http.internal;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

import io.undertow.server.HttpServerExchange;

/**
 * Counts the responses that are not yet written whole, so that a shutdown can wait for
 * them.
 */
final class OpenResponses {

	private int count;

	/**
	 * Counts the response of an exchange until it is written.
	 * @param exchange the exchange
	 * @return must be run when the connection closes
	 */
	Runnable open(HttpServerExchange exchange) {
		synchronized (this) {
			this.count++;
		}
		AtomicBoolean ended = new AtomicBoolean();
		Runnable end = () -> {
			if (ended.compareAndSet(false, true)) {
				BodyReservation.close(exchange);
				end();
			}
		};
		exchange.addExchangeCompleteListener((completed, next) -> {
			end.run();
			next.proceed();
		});
		return end;
	}

	/**
	 * Waits until all responses are written.
	 * @param timeoutMillis the longest wait, in milliseconds
	 * @return whether all are written
	 * @throws InterruptedException if the wait is interrupted
	 */
	synchronized boolean awaitNone(long timeoutMillis) throws InterruptedException {
		long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
		long leftNanos = endNanos - System.nanoTime();
		while (this.count > 0 && leftNanos > 0) {
			TimeUnit.NANOSECONDS.timedWait(this, leftNanos);
			leftNanos = endNanos - System.nanoTime();
		}
		return this.count == 0;
	}

	private synchronized void end() {
		this.count--;
		notifyAll();
	}

}
