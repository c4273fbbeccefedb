package org.rattanhead.decision.register;

import org.rattanhead.core.Millis;

/**
 * Counts all daemons of the fleet, including those on standby that exchange no messages
 * with this one. Announcements of former daemons remain in the store, so daemons that
 * were only announced count while the intended number serves: a smaller fleet has no
 * standby daemons.
 */
public final class FleetCount {

	/** Longer than serving daemons take to replace one that died. */
	private static final long REPLACEMENT_NANOS = Millis.toNanos(15_000);

	private int largest;

	private long completeNanos = Long.MIN_VALUE;

	/**
	 * Counts the daemons. Within a complete fleet the number does not shrink, since
	 * announcements expire after a while and no message confirms them.
	 * @param serving the daemons that serve, this one included if it does
	 * @param alive the daemons that this one receives messages from, and itself
	 * @param known all daemons that this one knows, itself included
	 * @param nowNanos the time on the monotonic clock
	 * @return the number
	 */
	public int update(int serving, int alive, int known, long nowNanos) {
		if (serving >= ServingDecider.SERVING_DAEMONS) {
			this.largest = Math.max(this.largest, known);
			this.completeNanos = nowNanos;
		}
		else if (this.largest > 0 && nowNanos - this.completeNanos > REPLACEMENT_NANOS) {
			this.largest = 0;
		}
		return Math.max(alive, this.largest);
	}

}
