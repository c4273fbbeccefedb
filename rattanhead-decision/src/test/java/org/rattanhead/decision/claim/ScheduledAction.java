package org.rattanhead.decision.claim;

/**
 * An action of the simulation at a given virtual time.
 *
 * @param atNanos the virtual time
 * @param sequence the order of scheduling, which breaks ties
 * @param action the action
 */
record ScheduledAction(long atNanos, long sequence, Runnable action) implements Comparable<ScheduledAction> {

	@Override
	public int compareTo(ScheduledAction other) {
		int byTime = Long.compare(this.atNanos, other.atNanos);
		return (byTime != 0) ? byTime : Long.compare(this.sequence, other.sequence);
	}

}
