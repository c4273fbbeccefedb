package org.rattanhead.ring;

/**
 * A reusable slot of a ring.
 *
 * @param <E> the type of the events
 */
final class Slot<E> {

	private E event;

	private boolean stop;

	void set(E newEvent) {
		this.event = newEvent;
	}

	void stop() {
		this.stop = true;
	}

	boolean stopped() {
		return this.stop;
	}

	E take() {
		E taken = this.event;
		this.event = null;
		return taken;
	}

}
