package org.rattanhead.decision.forward;

import java.util.ArrayDeque;
import java.util.Deque;

import org.rattanhead.core.Millis;

/**
 * The requests that this daemon sent to an instance in the last second.
 */
final class SentRequests {

	private static final long WINDOW_NANOS = Millis.toNanos(1_000);

	private final Deque<Long> sentNanos = new ArrayDeque<>();

	void add(long nowNanos) {
		this.sentNanos.addLast(nowNanos);
		count(nowNanos);
	}

	int count(long nowNanos) {
		while (!this.sentNanos.isEmpty() && this.sentNanos.peekFirst() < nowNanos - WINDOW_NANOS) {
			this.sentNanos.pollFirst();
		}
		return this.sentNanos.size();
	}

}
