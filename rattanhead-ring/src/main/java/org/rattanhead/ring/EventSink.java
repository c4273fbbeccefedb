package org.rattanhead.ring;

/**
 * Takes events without waiting.
 *
 * @param <E> the type of the events
 */
@FunctionalInterface
public interface EventSink<E> {

	/**
	 * Offers an event.
	 * @param event the event
	 * @param urgency how much of the ring it may fill
	 * @return false if there is no room for an event of that urgency
	 */
	boolean offer(E event, Urgency urgency);

}
