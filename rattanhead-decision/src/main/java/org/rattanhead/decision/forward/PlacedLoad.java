package org.rattanhead.decision.forward;

import org.rattanhead.core.forward.LoadEntry;

/**
 * Work placed on an instance, with its expiry on the clock of this daemon.
 *
 * @param entry the work
 * @param expiryNanos the expiry, on the monotonic clock
 */
record PlacedLoad(LoadEntry entry, long expiryNanos) {
}
