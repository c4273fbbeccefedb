package org.rattanhead.decision.forward;

import java.util.PriorityQueue;

/**
 * What is to happen on a virtual clock.
 */
final class VirtualSchedule {

	private final PriorityQueue<ScheduledStep> steps = new PriorityQueue<>();

	private long nowMillis;

	private long stepCount;

	long nowMillis() {
		return this.nowMillis;
	}

	void after(long delayMillis, Runnable action) {
		this.stepCount++;
		this.steps.add(new ScheduledStep(this.nowMillis + delayMillis, this.stepCount, action));
	}

	/**
	 * Advances the clock and runs what is due.
	 * @param millis the time, in milliseconds
	 */
	void advance(long millis) {
		this.nowMillis += millis;
		while (!this.steps.isEmpty() && this.steps.peek().atMillis() <= this.nowMillis) {
			this.steps.poll().action().run();
		}
	}

}
