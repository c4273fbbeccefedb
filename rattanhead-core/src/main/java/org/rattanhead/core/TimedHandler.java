package org.rattanhead.core;

/**
 * Handles a message, given the current time.
 *
 * @param <M> the type of the message
 * @param <R> the result
 */
@FunctionalInterface
public interface TimedHandler<M, R> {

	/**
	 * Handles a message.
	 * @param message the message
	 * @param nowNanos the time on the monotonic clock, in nanoseconds
	 * @return the result
	 */
	R handle(M message, long nowNanos);

}
