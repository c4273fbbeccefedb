package org.rattanhead.ring;

import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.Consumer;

/**
 * The completions that found no free slot in a ring. Each is handled after all events
 * that were in the ring before it. Any thread may add; the thread of the duty drains.
 *
 * @param <E> the type of the events
 */
final class Overflow<E> {

	private final Queue<Entry<E>> entries = new ConcurrentLinkedQueue<>();

	/**
	 * Adds an event.
	 * @param event the event
	 * @param sequence the last sequence of the ring that is in use
	 */
	void add(E event, long sequence) {
		this.entries.add(new Entry<>(event, sequence));
	}

	boolean isEmpty() {
		return this.entries.isEmpty();
	}

	/**
	 * Removes and handles the events that are due.
	 * @param handledSequence the last sequence of the ring that was handled
	 * @param handler handles the events
	 */
	void drain(long handledSequence, Consumer<E> handler) {
		Entry<E> first = this.entries.peek();
		while (first != null && first.sequence() <= handledSequence) {
			handler.accept(first.event());
			this.entries.remove();
			first = this.entries.peek();
		}
	}

	private record Entry<E>(E event, long sequence) {
	}

}
