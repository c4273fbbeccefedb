package org.rattanhead.decision.forward;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * A server of the balancing simulation. It reads prompts one after the other, queues what
 * exceeds its slots, and rejects what exceeds the queue.
 */
final class BalanceServer {

	private final int slots;

	private final Deque<Runnable> queue = new ArrayDeque<>();

	private int running;

	private double readUntilMillis;

	private double workMillis;

	private double countedMillis;

	BalanceServer(int slots) {
		this.slots = slots;
	}

	boolean full() {
		return this.running + this.queue.size() >= this.slots + this.slots / 2;
	}

	void accept(Runnable start, double nowMillis) {
		count(nowMillis);
		if (this.running < this.slots) {
			this.running++;
			start.run();
		}
		else {
			this.queue.add(start);
		}
	}

	double read(double millis, double nowMillis) {
		this.readUntilMillis = Math.max(this.readUntilMillis, nowMillis) + millis;
		return this.readUntilMillis;
	}

	void finish(double nowMillis) {
		count(nowMillis);
		this.running--;
		if (!this.queue.isEmpty()) {
			this.running++;
			this.queue.remove().run();
		}
	}

	private void count(double nowMillis) {
		this.workMillis += (this.running + this.queue.size()) * (nowMillis - this.countedMillis);
		this.countedMillis = nowMillis;
	}

	double takeWork(double nowMillis) {
		count(nowMillis);
		double work = this.workMillis;
		this.workMillis = 0;
		return work;
	}

}
