package org.rattanhead.decision.forward;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.Map;

import org.rattanhead.core.Millis;
import org.rattanhead.core.forward.LoadEntry;
import org.rattanhead.core.forward.UpstreamInstance;

/**
 * What this daemon knows of an instance: the work that all daemons placed on it, and how
 * it has behaved.
 */
final class InstanceLoad {

	/** How long an instance is avoided after its first failure in a row. */
	private static final long AVOID_NANOS = 400_000_000L;

	/** The longest time an instance is avoided. */
	private static final long MAX_AVOID_NANOS = 6_400_000_000L;

	private static final int MAX_DOUBLINGS = 4;

	private static final long SECOND_NANOS = 1_000_000_000L;

	/** The part of a pause that reading may fill before a stream counts as harmed. */
	private static final double GAP_SHARE = 0.85;

	/** The part of the worth that is lost when a stream pauses too long. */
	private static final double LATE_LOSS = 0.75;

	/** What reading costs a stream that still bears it, as a part of its worth. */
	private static final double PAUSE_COST = 0.05;

	/**
	 * How long an instance counts as alive after it sent a part of any answer, in
	 * milliseconds.
	 */
	private static final long ALIVE_MILLIS = 1_200;

	private final Map<String, PlacedLoad> placed = new LinkedHashMap<>();

	private final Deque<Long> sentNanos = new ArrayDeque<>();

	private UpstreamInstance instance;

	private long readUntilNanos;

	private long coldUntilNanos;

	private long avoidUntilNanos;

	private long heardNanos;

	private int failures;

	InstanceLoad(UpstreamInstance instance, long nowNanos) {
		this.readUntilNanos = nowNanos;
		this.avoidUntilNanos = nowNanos;
		this.coldUntilNanos = nowNanos;
		this.heardNanos = nowNanos - Millis.toNanos(ALIVE_MILLIS);
		update(instance, nowNanos);
	}

	UpstreamInstance instance() {
		return this.instance;
	}

	void update(UpstreamInstance newInstance, long nowNanos) {
		this.instance = newInstance;
		if (newInstance.coldRemainingMillis() > 0) {
			this.coldUntilNanos = nowNanos + Millis.toNanos(newInstance.coldRemainingMillis());
		}
	}

	void place(LoadEntry entry, long nowNanos) {
		if (this.placed.containsKey(entry.key())) {
			return;
		}
		this.readUntilNanos = Math.max(this.readUntilNanos, nowNanos) + Millis.toNanos(entry.readMillis());
		this.placed.put(entry.key(), new PlacedLoad(entry, nowNanos + Millis.toNanos(entry.remainingMillis())));
	}

	void remove(String key, long nowNanos) {
		this.placed.remove(key);
		if (this.placed.isEmpty()) {
			this.readUntilNanos = nowNanos;
		}
	}

	void expire(long nowNanos) {
		this.placed.values().removeIf((load) -> load.endNanos() < nowNanos);
	}

	int running() {
		return this.placed.size();
	}

	int writers() {
		int writers = 0;
		for (PlacedLoad load : this.placed.values()) {
			writers += load.entry().writesStream() ? 1 : 0;
		}
		return writers;
	}

	long usedTokens() {
		long tokens = 0;
		for (PlacedLoad load : this.placed.values()) {
			tokens += load.entry().memoryTokens();
		}
		return tokens;
	}

	double backlogMillis(long nowNanos) {
		return Math.max(0, this.readUntilNanos - nowNanos) / (double) Millis.toNanos(1);
	}

	/**
	 * Estimates what the streams on the instance lose if it also reads a prompt.
	 * @param addedMillis the time to read it, in milliseconds
	 * @param passMillis the time of a pass, in milliseconds
	 * @param nowNanos the time on the monotonic clock
	 * @return the worth lost
	 */
	double harm(double addedMillis, double passMillis, long nowNanos) {
		double pauseMillis = backlogMillis(nowNanos) + addedMillis + passMillis;
		double loss = 0;
		for (PlacedLoad load : this.placed.values()) {
			LoadEntry entry = load.entry();
			if (entry.writesStream()) {
				loss += (pauseMillis > GAP_SHARE * entry.gapMillis()) ? LATE_LOSS * entry.worth()
						: PAUSE_COST * entry.worth() * addedMillis / entry.gapMillis();
			}
		}
		return loss;
	}

	void heard(long nowNanos) {
		this.heardNanos = nowNanos;
	}

	/**
	 * Tells whether the instance sent a part of any answer lately, or is still reading.
	 * @param nowNanos the time on the monotonic clock
	 * @return true if a pause is no sign of a fault
	 */
	boolean alive(long nowNanos) {
		return nowNanos - Math.max(this.heardNanos, Math.min(nowNanos, this.readUntilNanos)) < Millis
			.toNanos(ALIVE_MILLIS);
	}

	void failed(long nowNanos) {
		long nanos = AVOID_NANOS << Math.min(this.failures, MAX_DOUBLINGS);
		this.failures++;
		this.avoidUntilNanos = nowNanos + Math.min(nanos, MAX_AVOID_NANOS);
	}

	void full(long nowNanos) {
		this.avoidUntilNanos = Math.max(this.avoidUntilNanos, nowNanos + AVOID_NANOS / 2);
	}

	void succeeded() {
		this.failures = 0;
	}

	boolean avoided(long nowNanos) {
		return nowNanos < this.avoidUntilNanos;
	}

	void sent(long nowNanos) {
		this.sentNanos.addLast(nowNanos);
	}

	boolean coldLimitReached(double share, long nowNanos) {
		while (!this.sentNanos.isEmpty() && this.sentNanos.peekFirst() < nowNanos - SECOND_NANOS) {
			this.sentNanos.pollFirst();
		}
		return nowNanos < this.coldUntilNanos && this.sentNanos.size() >= Math.max(1, (int) share);
	}

}
