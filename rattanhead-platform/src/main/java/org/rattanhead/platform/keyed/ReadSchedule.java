package org.rattanhead.platform.keyed;

import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/**
 * Decides when a daemon reads a stream. Of the daemons that receive each other's updates
 * one reads for all. A daemon that receives no updates, because it is cut off from the
 * others or because the reader failed, reads the stream itself.
 */
final class ReadSchedule {

	/**
	 * The pause after the first failed read, so that retries do not overload a store that
	 * is in trouble.
	 */
	private static final long RETRY_MILLIS = 300;

	/**
	 * The maximum pause after failed reads before it is lengthened at random, unless the
	 * period of the stream is longer. It is shorter than the time within which a host has
	 * to be in contact again.
	 */
	private static final long MAX_RETRY_MILLIS = 1_200;

	/**
	 * The minimum time that a daemon without records waits for those of others. An answer
	 * takes milliseconds; the rest is for a slow host.
	 */
	private static final long PEER_WAIT_MILLIS = 150;

	/**
	 * The random addition to that time. Of daemons that start together, the first reads
	 * and the others receive its records. 600 ms leave 20 ms between the first two of 28.
	 */
	private static final long PEER_WAIT_SPREAD_MILLIS = 600;

	/**
	 * The pause between the newest records and the first changes, unless the yield time
	 * is shorter. A daemon may begin to send updates at its first heartbeat, 700 ms after
	 * its start. By then one of the daemons that start together reads for the others.
	 */
	private static final long FIRST_CHANGES_MILLIS = 800;

	private static final int MAX_DOUBLINGS = 5;

	/**
	 * The maximum share by which pauses are lengthened at random, so that not all daemons
	 * replace a failed reader at the same time.
	 */
	private static final double SPREAD_SHARE = 0.3;

	private final Supplier<FollowPlan> plan;

	private final RandomGenerator random;

	private long dueNanos;

	private long readerUntilNanos;

	private long yieldUntilNanos;

	private long currentUntilNanos;

	private int failures;

	/**
	 * Creates the schedule of one daemon for one stream. The first read is due
	 * immediately, unless other daemons get time to send what they have read.
	 * @param plan the timing of reads
	 * @param random spreads the reads of the daemons in time
	 * @param nowNanos the time on the monotonic clock
	 */
	ReadSchedule(Supplier<FollowPlan> plan, RandomGenerator random, long nowNanos) {
		this.plan = plan;
		this.random = random;
		this.dueNanos = plan.get().asksPeers() ? peerWaitEnd(nowNanos) : nowNanos;
		this.readerUntilNanos = nowNanos;
		this.yieldUntilNanos = nowNanos;
		this.currentUntilNanos = nowNanos;
	}

	/**
	 * Schedules the next read after another daemon has read the newest records of a
	 * restored store, which it sends on request.
	 * @param nowNanos the time on the monotonic clock
	 */
	void awaitPeer(long nowNanos) {
		this.dueNanos = peerWaitEnd(nowNanos);
		this.yieldUntilNanos = nowNanos;
		this.readerUntilNanos = nowNanos;
	}

	private long peerWaitEnd(long nowNanos) {
		return nowNanos + TimeUnit.MILLISECONDS
			.toNanos(PEER_WAIT_MILLIS + Math.round(PEER_WAIT_SPREAD_MILLIS * this.random.nextDouble()));
	}

	/**
	 * Schedules the next read after this daemon has read the newest records. Of daemons
	 * that start together, the first that is due reads for the others. Without a yield
	 * time there are no others.
	 * @param nowNanos the time on the monotonic clock
	 */
	void newestRead(long nowNanos) {
		if (this.plan.get().yieldMillis() == 0) {
			readCompleted(nowNanos);
			return;
		}
		this.failures = 0;
		markCurrent(nowNanos);
		this.dueNanos = Math.max(this.yieldUntilNanos,
				nowNanos + spread(Math.min(FIRST_CHANGES_MILLIS, this.plan.get().yieldMillis())));
	}

	/**
	 * Schedules the next read after this daemon read the stream.
	 * @param nowNanos the time on the monotonic clock
	 */
	void readCompleted(long nowNanos) {
		this.failures = 0;
		markCurrent(nowNanos);
		if (nowNanos < this.yieldUntilNanos) {
			this.dueNanos = this.yieldUntilNanos;
			return;
		}
		this.dueNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(this.plan.get().periodMillis());
		this.readerUntilNanos = this.dueNanos
				+ TimeUnit.MILLISECONDS.toNanos(this.plan.get().waitMillis() + this.plan.get().yieldMillis());
	}

	/**
	 * Schedules the next read after a read of this daemon failed. While other daemons
	 * send updates, this daemon does not need to read, unless it lacks records before
	 * them.
	 * @param nowNanos the time on the monotonic clock
	 * @param called whether the store was called; if not, trying again is free
	 * @param behind whether records are missing that updates do not bring
	 */
	void readFailed(long nowNanos, boolean called, boolean behind) {
		long pauseMillis = !called ? RETRY_MILLIS : Math.min(RETRY_MILLIS << Math.min(this.failures, MAX_DOUBLINGS),
				Math.max(MAX_RETRY_MILLIS, this.plan.get().periodMillis()));
		this.failures += called ? 1 : 0;
		long retryNanos = nowNanos + spread(pauseMillis);
		this.dueNanos = behind ? retryNanos : Math.max(retryNanos, this.yieldUntilNanos);
		this.readerUntilNanos = nowNanos;
	}

	/**
	 * Postpones the next read after an update from another daemon, unless this daemon
	 * continues to read.
	 * @param senderHasPriority whether that daemon continues to read if both daemons read
	 * @param behind whether records after the update are missing; the next read is not
	 * postponed then
	 * @param nowNanos the time on the monotonic clock
	 */
	void updateReceived(boolean senderHasPriority, boolean behind, long nowNanos) {
		markCurrent(nowNanos);
		if (!isReader(nowNanos) || senderHasPriority) {
			this.yieldUntilNanos = nowNanos + spread(this.plan.get().yieldMillis());
			this.dueNanos = behind ? this.dueNanos : this.yieldUntilNanos;
			this.readerUntilNanos = nowNanos;
		}
	}

	/**
	 * Returns whether this daemon reads for the others.
	 * @param nowNanos the time on the monotonic clock
	 * @return true if it reads for the others
	 */
	boolean isReader(long nowNanos) {
		return nowNanos < this.readerUntilNanos;
	}

	/**
	 * Returns whether this daemon has read the stream, or received an update, within the
	 * time after which it would read for itself.
	 * @param nowNanos the time on the monotonic clock
	 * @return true if its records may be sent to others
	 */
	boolean isCurrent(long nowNanos) {
		return nowNanos < this.currentUntilNanos;
	}

	private void markCurrent(long nowNanos) {
		this.currentUntilNanos = nowNanos
				+ TimeUnit.MILLISECONDS.toNanos(this.plan.get().waitMillis() + this.plan.get().yieldMillis());
	}

	/**
	 * Makes the next read due immediately.
	 * @param nowNanos the time on the monotonic clock
	 */
	void makeDue(long nowNanos) {
		this.dueNanos = nowNanos;
	}

	/**
	 * Makes the next read due immediately if records are missing.
	 * @param missing whether records are missing
	 * @param nowNanos the time on the monotonic clock
	 */
	void makeDueIf(boolean missing, long nowNanos) {
		if (missing) {
			makeDue(nowNanos);
		}
	}

	/**
	 * Returns the time until the next read is due.
	 * @param nowNanos the time on the monotonic clock
	 * @return milliseconds, 0 if it is due
	 */
	long delayMillis(long nowNanos) {
		long nanos = this.dueNanos - nowNanos;
		return (nanos <= 0) ? 0 : Math.max(1, TimeUnit.NANOSECONDS.toMillis(nanos));
	}

	private long spread(long millis) {
		return TimeUnit.MILLISECONDS.toNanos(millis + Math.round(millis * SPREAD_SHARE * this.random.nextDouble()));
	}

}
