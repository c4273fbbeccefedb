package org.rattanhead.http.internal;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.AttachmentKey;

/**
 * The part of the budget that one request body uses. Confined to one thread until it is
 * closed.
 */
final class BodyReservation implements AutoCloseable {

	private static final AttachmentKey<BodyReservation> ATTACHMENT_KEY = AttachmentKey.create(BodyReservation.class);

	private final BodyBudget budget;

	private long reservedBytes;

	private boolean closed;

	BodyReservation(BodyBudget budget) {
		this.budget = budget;
	}

	/**
	 * Creates the reservation of a request body, which ends with the exchange or its
	 * connection.
	 * @param budget the budget
	 * @param exchange the exchange
	 * @return the reservation
	 */
	static BodyReservation open(BodyBudget budget, HttpServerExchange exchange) {
		BodyReservation reservation = new BodyReservation(budget);
		exchange.putAttachment(ATTACHMENT_KEY, reservation);
		exchange.addExchangeCompleteListener((completed, next) -> {
			reservation.close();
			next.proceed();
		});
		ConnectionCloseListener.of(exchange.getConnection()).onClose(reservation::close);
		return reservation;
	}

	/**
	 * Ends the reservation of an exchange, if it has one.
	 * @param exchange the exchange
	 */
	static void close(HttpServerExchange exchange) {
		BodyReservation reservation = exchange.getAttachment(ATTACHMENT_KEY);
		if (reservation != null) {
			reservation.close();
		}
	}

	/**
	 * Extends the reservation to the size of a body.
	 * @param bodyBytes the size, in bytes
	 * @return false if the budget is used up
	 */
	synchronized boolean extendTo(long bodyBytes) {
		if (this.closed || bodyBytes <= this.reservedBytes) {
			return true;
		}
		if (!this.budget.extend(this.reservedBytes, bodyBytes)) {
			return false;
		}
		this.reservedBytes = bodyBytes;
		return true;
	}

	@Override
	public synchronized void close() {
		this.budget.release(this.reservedBytes);
		this.reservedBytes = 0;
		this.closed = true;
	}

}
