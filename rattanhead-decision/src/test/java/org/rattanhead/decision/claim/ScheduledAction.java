package org.rattanhead.decision.claim;

/**
 * Something that happens at a given time.
 *
 * @param atNanos when
 * @param sequence breaks ties in the order of scheduling
 * @param action what happens
 */
record ScheduledAction(long atNanos, long sequence, Runnable action) implements Comparable<ScheduledAction> {

	@Override
	public int compareTo(ScheduledAction other) {
		int byTime = Long.compare(this.atNanos, other.atNanos);
		return (byTime != 0) ? byTime : Long.compare(this.sequence, other.sequence);
	}

}
