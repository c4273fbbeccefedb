package org.rattanhead.decision.forward;

import java.util.Comparator;

import org.rattanhead.core.forward.ForwardCall;

/**
 * A call that waits for a slot of a {@link QueueingEngine}.
 *
 * @param call the call
 * @param number its number in the order of arrival
 */
record QueuedCall(ForwardCall call, long number) implements Comparable<QueuedCall> {

	private static final Comparator<QueuedCall> ORDER = Comparator
		.comparingInt((QueuedCall queued) -> queued.call().urgency())
		.thenComparingLong(QueuedCall::number);

	@Override
	public int compareTo(QueuedCall other) {
		return ORDER.compare(this, other);
	}

}
