package org.rattanhead.decision.register;

import java.util.random.RandomGenerator;

import org.rattanhead.core.Millis;

/**
 * Decides whether a daemon is one of those that are named to callers and that tell each
 * other of all work. In a large fleet the others stand by, so that the messages between
 * daemons do not grow with the square of their number.
 */
public final class ServingTurn {

	/** The daemons that serve, if there are so many. */
	public static final int SERVING_DAEMONS = 24;

	/** A daemon that stands by sends each beat of this number. */
	public static final int STANDBY_BEATS = 3;

	/**
	 * How long enough daemons that precede it have to serve before a daemon stands by.
	 */
	private static final long STEADY_NANOS = Millis.toNanos(3_000);

	/** How many times as many daemons as are missing begin to serve in one beat. */
	private static final double EAGERNESS = 1.5;

	private final RandomGenerator random;

	private boolean serving;

	private long surplusNanos = Long.MAX_VALUE;

	/**
	 * Creates the turns of a daemon that stands by at first.
	 * @param random spreads the turns of the daemons
	 */
	public ServingTurn(RandomGenerator random) {
		this.random = random;
	}

	/**
	 * Decides at a beat.
	 * @param others the other daemons that serve
	 * @param before those of them that precede this one in the order of all daemons
	 * @param pool the daemons that may begin to serve, this one included
	 * @param nowNanos the time on the monotonic clock
	 * @return true if this daemon serves
	 */
	public boolean update(int others, int before, int pool, long nowNanos) {
		if (!this.serving) {
			double missing = SERVING_DAEMONS - others;
			this.serving = this.random.nextDouble() < EAGERNESS * missing / Math.max(1, pool);
			this.surplusNanos = Long.MAX_VALUE;
		}
		else if (before < SERVING_DAEMONS) {
			this.surplusNanos = Long.MAX_VALUE;
		}
		else if (this.surplusNanos == Long.MAX_VALUE) {
			this.surplusNanos = nowNanos;
		}
		else if (nowNanos - this.surplusNanos >= STEADY_NANOS) {
			this.serving = false;
		}
		return this.serving;
	}

}
