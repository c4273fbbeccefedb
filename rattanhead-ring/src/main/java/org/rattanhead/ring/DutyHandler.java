package org.rattanhead.ring;

/**
 * Handles the events of a duty, on the thread of that duty.
 *
 * @param <E> the type of the events
 */
@FunctionalInterface
public interface DutyHandler<E> {

	/**
	 * Handles one event.
	 * @param event the event
	 * @param nowNanos the time on the monotonic clock, in nanoseconds
	 */
	void handle(E event, long nowNanos);

}
