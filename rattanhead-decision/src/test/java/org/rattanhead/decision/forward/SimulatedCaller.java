package org.rattanhead.decision.forward;

/**
 * A caller of one request, which it sends again after each refusal.
 */
final class SimulatedCaller {

	private static final long IMMEDIATELY_MILLIS = 20;

	private final long number;

	private final long startMillis;

	private final boolean impatient;

	private long beganMillis = -1;

	private long servedMillis = -1;

	private int refusals;

	SimulatedCaller(long number, long startMillis, boolean impatient) {
		this.number = number;
		this.startMillis = startMillis;
		this.impatient = impatient;
	}

	long number() {
		return this.number;
	}

	long startMillis() {
		return this.startMillis;
	}

	boolean impatient() {
		return this.impatient;
	}

	long remainingMillis(long nowMillis) {
		return this.startMillis + OverloadRun.DEADLINE_MILLIS - nowMillis;
	}

	/**
	 * Records a refusal.
	 * @return how long the caller waits, in milliseconds
	 */
	long refused(long retryAfterMillis, long remainingMillis) {
		this.refusals++;
		return this.impatient ? IMMEDIATELY_MILLIS : Math.min(retryAfterMillis, remainingMillis / 3);
	}

	void began(long nowMillis) {
		this.beganMillis = nowMillis;
	}

	void served(long nowMillis) {
		this.servedMillis = nowMillis;
	}

	int refusals() {
		return this.refusals;
	}

	boolean served() {
		return this.servedMillis >= 0 && remainingMillis(this.servedMillis) >= 0;
	}

	boolean servedBetween(long fromMillis, long toMillis) {
		return served() && this.servedMillis >= fromMillis && this.servedMillis < toMillis;
	}

	boolean onTime() {
		return served() && this.beganMillis - this.startMillis <= 300;
	}

}
