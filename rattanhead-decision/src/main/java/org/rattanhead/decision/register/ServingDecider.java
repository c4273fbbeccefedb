package org.rattanhead.decision.register;

import java.util.random.RandomGenerator;

import org.rattanhead.core.Millis;

/**
 * Decides whether a daemon serves, that is, whether it is advertised to callers and
 * exchanges load reports with the other serving daemons. In a large fleet the remaining
 * daemons stand by, so that the number of messages between daemons does not grow with the
 * square of their number. Daemons on hosts with more processor time serve first.
 */
public final class ServingDecider {

	/** The number of daemons that serve, if the fleet has that many. */
	public static final int SERVING_DAEMONS = 16;

	/** The heartbeat periods between two heartbeats of a standby daemon. */
	public static final int STANDBY_HEARTBEAT_PERIODS = 3;

	/** The heartbeat periods between two reports of a serving daemon to a standby. */
	public static final int SERVER_REPORT_PERIODS = 2;

	/**
	 * How long enough preceding daemons must have served before a daemon stands by.
	 */
	private static final long SURPLUS_DELAY_NANOS = Millis.toNanos(3_000);

	/**
	 * Expected number of daemons that begin to serve in one heartbeat period, as a
	 * multiple of the missing ones.
	 */
	private static final double OVERSHOOT_FACTOR = 1.5;

	/**
	 * Probability per heartbeat period that a standby daemon begins to serve while a
	 * daemon on a weaker host serves, which then stands by as surplus.
	 */
	private static final double REPLACEMENT_PROBABILITY = 0.3;

	private final RandomGenerator random;

	private boolean serving;

	private long surplusSinceNanos = Long.MAX_VALUE;

	/**
	 * Creates the decider of a daemon, which stands by at first.
	 * @param random makes daemons begin to serve independently of each other
	 */
	public ServingDecider(RandomGenerator random) {
		this.random = random;
	}

	/**
	 * Decides once per heartbeat period.
	 * @param view what this daemon knows of the fleet
	 * @param nowNanos the time on the monotonic clock
	 * @return true if this daemon serves
	 */
	public boolean update(ServingView view, long nowNanos) {
		if (!this.serving) {
			this.serving = this.random.nextDouble() < startProbability(view);
			this.surplusSinceNanos = Long.MAX_VALUE;
		}
		else if (view.precedingServing() < SERVING_DAEMONS) {
			this.surplusSinceNanos = Long.MAX_VALUE;
		}
		else if (this.surplusSinceNanos == Long.MAX_VALUE) {
			this.surplusSinceNanos = nowNanos;
		}
		else if (nowNanos - this.surplusSinceNanos >= SURPLUS_DELAY_NANOS) {
			this.serving = false;
		}
		return this.serving;
	}

	private static double startProbability(ServingView view) {
		double missing = SERVING_DAEMONS - view.otherServing();
		if (missing <= 0 && view.weakerServing() && view.precedingServing() < SERVING_DAEMONS) {
			return REPLACEMENT_PROBABILITY;
		}
		return OVERSHOOT_FACTOR * missing / Math.max(1, view.candidates());
	}

}
