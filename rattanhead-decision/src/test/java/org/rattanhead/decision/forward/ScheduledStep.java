package org.rattanhead.decision.forward;

import java.util.Comparator;

/**
 * Something that happens at a time on a virtual clock.
 *
 * @param atMillis the time, in milliseconds
 * @param number orders the steps of one time
 * @param action what happens
 */
record ScheduledStep(long atMillis, long number, Runnable action) implements Comparable<ScheduledStep> {

	private static final Comparator<ScheduledStep> ORDER = Comparator.comparingLong(ScheduledStep::atMillis)
		.thenComparingLong(ScheduledStep::number);

	@Override
	public int compareTo(ScheduledStep other) {
		return ORDER.compare(this, other);
	}

}
