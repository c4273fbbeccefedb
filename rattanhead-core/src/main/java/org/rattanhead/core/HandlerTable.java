package org.rattanhead.core;

import java.util.HashMap;
import java.util.Map;

/**
 * Dispatches each message to the handler registered for its record class.
 *
 * @param <M> the common type of the messages
 * @param <R> the result of handling one message
 */
public final class HandlerTable<M, R> {

	private final Map<Class<?>, TimedHandler<M, R>> handlers = new HashMap<>();

	/**
	 * Registers the handler of one message type.
	 * @param <T> the message type
	 * @param type the class of the message
	 * @param handler handles messages of exactly that class
	 * @return this table
	 */
	public <T extends M> HandlerTable<M, R> on(Class<T> type, TimedHandler<T, R> handler) {
		this.handlers.put(type, (message, nowNanos) -> handler.handle(type.cast(message), nowNanos));
		return this;
	}

	/**
	 * Handles one message.
	 * @param message the message
	 * @param nowNanos the time on the monotonic clock, in nanoseconds
	 * @return the result of its handler
	 * @throws IllegalArgumentException if no handler is registered for its class
	 */
	public R handle(M message, long nowNanos) {
		TimedHandler<M, R> handler = this.handlers.get(message.getClass());
		if (handler == null) {
			throw new IllegalArgumentException(
					"No handler for " + message.getClass().getName() + "; register one where the table is built");
		}
		return handler.handle(message, nowNanos);
	}

	/**
	 * Checks that every permitted record of a sealed interface has a handler.
	 * @param sealedType the sealed interface
	 * @return this table
	 * @throws IllegalStateException if a record has no handler
	 */
	public HandlerTable<M, R> covering(Class<M> sealedType) {
		for (Class<?> type : sealedType.getPermittedSubclasses()) {
			if (!this.handlers.containsKey(type)) {
				throw new IllegalStateException("No handler for " + type.getName() + "; register one with on()");
			}
		}
		return this;
	}

}
