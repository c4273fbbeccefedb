package org.rattanhead.ring;

/**
 * A reusable slot of a ring, which holds an event or a stop marker.
 *
 * @param <E> the type of the events
 */
final class Slot<E> {

	private E event;

	private boolean stopMarker;

	void set(E newEvent) {
		this.event = newEvent;
	}

	void markStop() {
		this.stopMarker = true;
	}

	boolean isStopMarker() {
		return this.stopMarker;
	}

	E take() {
		E taken = this.event;
		this.event = null;
		return taken;
	}

}
