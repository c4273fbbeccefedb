package org.rattanhead.decision.forward;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.rattanhead.core.Millis;
import org.rattanhead.core.request.AttemptId;

/**
 * Tracks the memory that this daemon has reserved. Reservations are short and renewed, so
 * that the memory is freed soon after a crash of the daemon. A release is repeated until
 * it is confirmed or the reservation has expired.
 */
final class TicketRegistry {

	/**
	 * Duration of a reservation; below the time within which unused memory must be freed.
	 */
	private static final long HOLD_MILLIS = 3_000;

	private static final long RENEW_NANOS = Millis.toNanos(1_000);

	private static final long RELEASE_RETRY_NANOS = Millis.toNanos(400);

	private static final long EXPIRY_NANOS = Millis.toNanos(2 * HOLD_MILLIS);

	private final long holdMillis;

	private final Map<String, TrackedTicket> tickets = new LinkedHashMap<>();

	/**
	 * Creates an instance without reservations.
	 * @param maxHoldMillis the longest time that memory may be reserved, in milliseconds
	 */
	TicketRegistry(long maxHoldMillis) {
		this.holdMillis = Math.min(HOLD_MILLIS, maxHoldMillis);
	}

	void reserve(List<Ticket> requested, long nowNanos, List<ForwardCommand> commands) {
		for (Ticket ticket : requested) {
			this.tickets.put(ticket.name(),
					new TrackedTicket(ticket, TicketState.REQUESTED, nowNanos + RENEW_NANOS, nowNanos));
			commands.add(new ReserveTicket(ticket, this.holdMillis));
		}
	}

	/**
	 * Handles the reply to an order.
	 * @param event the reply
	 * @param nowNanos the time on the monotonic clock
	 * @param commands receives the resulting commands
	 */
	void replied(TicketReplied event, long nowNanos, List<ForwardCommand> commands) {
		TrackedTicket tracked = this.tickets.get(event.ticket().name());
		if (tracked == null) {
			if (event.outcome() == TicketOutcome.GRANTED) {
				commands.add(new ReleaseTicket(event.ticket()));
			}
			return;
		}
		switch (event.outcome()) {
			case GRANTED -> granted(tracked, commands);
			case RELEASED -> this.tickets.remove(event.ticket().name());
			case REFUSED -> {
				if (tracked.state() != TicketState.RELEASING) {
					this.tickets.remove(event.ticket().name());
				}
			}
			default -> {
				// The order may still take effect; ticks renew or release it.
			}
		}
	}

	private void granted(TrackedTicket tracked, List<ForwardCommand> commands) {
		if (tracked.state() == TicketState.RELEASING) {
			commands.add(new ReleaseTicket(tracked.ticket()));
		}
		else {
			this.tickets.put(tracked.ticket().name(), tracked.with(TicketState.GRANTED, tracked.dueNanos()));
		}
	}

	boolean allGranted(AttemptId attempt) {
		return this.tickets.values()
			.stream()
			.filter((tracked) -> tracked.ticket().attempt().equals(attempt))
			.allMatch((tracked) -> tracked.state() == TicketState.GRANTED);
	}

	/**
	 * Lists the reservations of an attempt that no instance has answered.
	 * @param attempt the attempt
	 * @return the reservations
	 */
	List<Ticket> unanswered(AttemptId attempt) {
		return this.tickets.values()
			.stream()
			.filter((tracked) -> tracked.state() == TicketState.REQUESTED)
			.map(TrackedTicket::ticket)
			.filter((ticket) -> ticket.attempt().equals(attempt))
			.toList();
	}

	void release(AttemptId attempt, long nowNanos, List<ForwardCommand> commands) {
		for (TrackedTicket tracked : List.copyOf(this.tickets.values())) {
			if (tracked.ticket().attempt().equals(attempt) && tracked.state() != TicketState.RELEASING) {
				this.tickets.put(tracked.ticket().name(), new TrackedTicket(tracked.ticket(), TicketState.RELEASING,
						nowNanos + RELEASE_RETRY_NANOS, nowNanos));
				commands.add(new ReleaseTicket(tracked.ticket()));
			}
		}
	}

	void tick(long nowNanos, List<ForwardCommand> commands) {
		for (TrackedTicket tracked : new ArrayList<>(this.tickets.values())) {
			if (tracked.state() == TicketState.RELEASING && nowNanos - tracked.sinceNanos() > EXPIRY_NANOS) {
				this.tickets.remove(tracked.ticket().name());
			}
			else if (nowNanos >= tracked.dueNanos()) {
				boolean releasing = tracked.state() == TicketState.RELEASING;
				commands.add(releasing ? new ReleaseTicket(tracked.ticket())
						: new ReserveTicket(tracked.ticket(), this.holdMillis));
				this.tickets.put(tracked.ticket().name(),
						tracked.with(tracked.state(), nowNanos + (releasing ? RELEASE_RETRY_NANOS : RENEW_NANOS)));
			}
		}
	}

	boolean empty() {
		return this.tickets.isEmpty();
	}

}
