package org.rattanhead.decision.rank;

import java.util.Comparator;

/**
 * The place of a held request among the others: by rank, then whether it yields, then by
 * deadline.
 *
 * @param position the position of its rank
 * @param yielding whether its workspace uses more than its share of the service
 * @param deadlineNanos its deadline, on the monotonic clock
 */
public record HeldOrder(int position, boolean yielding, long deadlineNanos) implements Comparable<HeldOrder> {

	private static final Comparator<HeldOrder> ORDER = Comparator.comparingInt(HeldOrder::position)
		.thenComparing(HeldOrder::yielding)
		.thenComparing((first, second) -> Long.signum(first.deadlineNanos() - second.deadlineNanos()));

	@Override
	public int compareTo(HeldOrder other) {
		return ORDER.compare(this, other);
	}

}
