package org.rattanhead.http.internal;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.AttachmentKey;

/**
 * The part of the budget that one request body uses. A small body is always admitted, so
 * that short requests go through beside large ones. Confined to one thread until it is
 * closed.
 */
final class BodyReservation implements AutoCloseable {

	private static final AttachmentKey<BodyReservation> ATTACHMENT_KEY = AttachmentKey.create(BodyReservation.class);

	/** Bodies up to this size use no budget. */
	private static final long FREE_BYTES = 64 * 1024;

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
		long missingBytes = bodyBytes - FREE_BYTES - this.reservedBytes;
		if (this.closed || missingBytes <= 0) {
			return true;
		}
		if (!this.budget.reserve(missingBytes)) {
			return false;
		}
		this.reservedBytes += missingBytes;
		return true;
	}

	@Override
	public synchronized void close() {
		this.budget.release(this.reservedBytes);
		this.reservedBytes = 0;
		this.closed = true;
	}

}
