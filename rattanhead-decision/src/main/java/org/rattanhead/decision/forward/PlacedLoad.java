package org.rattanhead.decision.forward;

import org.rattanhead.core.forward.LoadEntry;

/**
 * Work on an instance, with its end on this daemon's clock.
 *
 * @param entry the work
 * @param endNanos when it ends at the latest, on the monotonic clock
 */
record PlacedLoad(LoadEntry entry, long endNanos) {
}
