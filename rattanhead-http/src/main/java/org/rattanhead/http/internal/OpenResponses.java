package org.rattanhead.http.internal;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.AttachmentKey;

/**
 * Counts the requests whose response is not yet written whole, so that a shutdown can
 * wait for them.
 */
final class OpenResponses {

	private static final AttachmentKey<Runnable> ATTACHMENT_KEY = AttachmentKey.create(Runnable.class);

	private int count;

	/**
	 * Counts an exchange until its response is written or its connection closes. Has no
	 * further effect if the exchange is counted already.
	 * @param exchange the exchange
	 * @return must be run when the connection closes, by whoever replaces the action of
	 * {@link ConnectionCloseListener}
	 */
	Runnable open(HttpServerExchange exchange) {
		Runnable known = exchange.getAttachment(ATTACHMENT_KEY);
		if (known != null) {
			return known;
		}
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
		exchange.putAttachment(ATTACHMENT_KEY, end);
		ConnectionCloseListener.of(exchange.getConnection()).onClose(end);
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
