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
final class TicketBook {

	/**
	 * Duration of a reservation; below the time within which unused memory must be freed.
	 */
	private static final long HOLD_MILLIS = 3_000;

	private static final long RENEW_NANOS = Millis.toNanos(1_000);

	private static final long RELEASE_AGAIN_NANOS = Millis.toNanos(400);

	private static final long LAPSE_NANOS = Millis.toNanos(2 * HOLD_MILLIS);

	private final long holdMillis;

	private final Map<String, HeldTicket> tickets = new LinkedHashMap<>();

	/**
	 * Creates an instance without reservations.
	 * @param maxHoldMillis the longest time that memory may be reserved, in milliseconds
	 */
	TicketBook(long maxHoldMillis) {
		this.holdMillis = Math.min(HOLD_MILLIS, maxHoldMillis);
	}

	void reserve(List<Ticket> wanted, long nowNanos, List<ForwardCommand> commands) {
		for (Ticket ticket : wanted) {
			this.tickets.put(ticket.name(),
					new HeldTicket(ticket, TicketState.ASKED, nowNanos + RENEW_NANOS, nowNanos));
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
		HeldTicket held = this.tickets.get(event.ticket().name());
		if (held == null) {
			if (event.outcome() == TicketOutcome.GRANTED) {
				commands.add(new ReleaseTicket(event.ticket()));
			}
			return;
		}
		switch (event.outcome()) {
			case GRANTED -> granted(held, commands);
			case RELEASED -> this.tickets.remove(event.ticket().name());
			case REFUSED -> {
				if (held.state() != TicketState.RELEASING) {
					this.tickets.remove(event.ticket().name());
				}
			}
			default -> {
				// The order may still take effect; ticks renew or release it.
			}
		}
	}

	private void granted(HeldTicket held, List<ForwardCommand> commands) {
		if (held.state() == TicketState.RELEASING) {
			commands.add(new ReleaseTicket(held.ticket()));
		}
		else {
			this.tickets.put(held.ticket().name(), held.with(TicketState.HELD, held.dueNanos()));
		}
	}

	boolean allHeld(AttemptId attempt) {
		return this.tickets.values()
			.stream()
			.filter((held) -> held.ticket().attempt().equals(attempt))
			.allMatch((held) -> held.state() == TicketState.HELD);
	}

	void release(AttemptId attempt, long nowNanos, List<ForwardCommand> commands) {
		for (HeldTicket held : List.copyOf(this.tickets.values())) {
			if (held.ticket().attempt().equals(attempt) && held.state() != TicketState.RELEASING) {
				this.tickets.put(held.ticket().name(),
						new HeldTicket(held.ticket(), TicketState.RELEASING, nowNanos + RELEASE_AGAIN_NANOS, nowNanos));
				commands.add(new ReleaseTicket(held.ticket()));
			}
		}
	}

	void tick(long nowNanos, List<ForwardCommand> commands) {
		for (HeldTicket held : new ArrayList<>(this.tickets.values())) {
			if (held.state() == TicketState.RELEASING && nowNanos - held.sinceNanos() > LAPSE_NANOS) {
				this.tickets.remove(held.ticket().name());
			}
			else if (nowNanos >= held.dueNanos()) {
				boolean releasing = held.state() == TicketState.RELEASING;
				commands.add(releasing ? new ReleaseTicket(held.ticket())
						: new ReserveTicket(held.ticket(), this.holdMillis));
				this.tickets.put(held.ticket().name(),
						held.with(held.state(), nowNanos + (releasing ? RELEASE_AGAIN_NANOS : RENEW_NANOS)));
			}
		}
	}

	boolean empty() {
		return this.tickets.isEmpty();
	}

}
