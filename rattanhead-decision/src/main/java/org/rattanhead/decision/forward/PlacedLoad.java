package org.rattanhead.decision.forward;

import org.rattanhead.core.forward.LoadEntry;

/**
 * Work placed on an instance, with its expiry on the clock of this daemon.
 *
 * @param entry the work
 * @param expiryNanos the expiry, on the monotonic clock
 * @param own whether this daemon placed it
 */
record PlacedLoad(LoadEntry entry, long expiryNanos, boolean own) {

	/**
	 * Returns whether it is a request, not a part of a prompt that is read for another
	 * instance.
	 * @return true if it is
	 */
	boolean isRequest() {
		return this.entry.writesStream() || this.entry.readMillis() == 0;
	}

}
