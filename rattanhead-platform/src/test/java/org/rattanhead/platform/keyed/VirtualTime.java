package org.rattanhead.platform.keyed;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.concurrent.TimeUnit;

/**
 * A clock that advances from one scheduled action to the next.
 */
final class VirtualTime implements FollowTimer {

	private final PriorityQueue<Action> actions = new PriorityQueue<>(
			Comparator.comparingLong(Action::millis).thenComparingLong(Action::number));

	private long nowMillis;

	private long count;

	long millis() {
		return this.nowMillis;
	}

	long nanos() {
		return TimeUnit.MILLISECONDS.toNanos(this.nowMillis);
	}

	@Override
	public void after(long delayMillis, Runnable action) {
		this.actions.add(new Action(this.nowMillis + delayMillis, this.count++, action));
	}

	void runUntil(long endMillis) {
		while (!this.actions.isEmpty() && this.actions.peek().millis() <= endMillis) {
			Action next = this.actions.poll();
			this.nowMillis = next.millis();
			next.action().run();
		}
		this.nowMillis = endMillis;
	}

	/**
	 * A scheduled action.
	 *
	 * @param millis when it runs
	 * @param number orders actions of the same time
	 * @param action the action
	 */
	private record Action(long millis, long number, Runnable action) {
	}

}
