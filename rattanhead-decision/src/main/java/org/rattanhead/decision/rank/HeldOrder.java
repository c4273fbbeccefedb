package org.rattanhead.decision.rank;

import java.util.Comparator;

/**
 * The place of a held request among the others: by rank, then by deadline.
 *
 * @param position the position of its rank
 * @param deadlineNanos its deadline, on the monotonic clock
 */
public record HeldOrder(int position, long deadlineNanos) implements Comparable<HeldOrder> {

	private static final Comparator<HeldOrder> ORDER = Comparator.comparingInt(HeldOrder::position)
		.thenComparing((first, second) -> Long.signum(first.deadlineNanos() - second.deadlineNanos()));

	@Override
	public int compareTo(HeldOrder other) {
		return ORDER.compare(this, other);
	}

}
