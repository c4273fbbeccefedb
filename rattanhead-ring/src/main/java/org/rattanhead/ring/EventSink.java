package org.rattanhead.ring;

/**
 * Accepts events without blocking.
 *
 * @param <E> the type of the events
 */
@FunctionalInterface
public interface EventSink<E> {

	/**
	 * Offers an event.
	 * @param event the event
	 * @param urgency the urgency, which limits the share of the ring that the event may
	 * use
	 * @return false if the event was refused because no slot is free for its urgency
	 */
	boolean offer(E event, Urgency urgency);

}
