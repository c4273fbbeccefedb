package org.rattanhead.daemon.soak;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.random.RandomGenerator;

/**
 * Lets instances say in their answers that they leave, after which they start again, or
 * that they want no requests for a time. Has a generator of its own, so that the faults
 * of a seed stay as they are.
 */
final class SoakNotices implements Runnable {

	private static final List<String> FIELDS = List.of("Server-Leaving: 1", "Retry-After: 0.7", "Retry-After: 2",
			"Retry-After: -1", "Retry-After: soon");

	private static final int MAX_MILLIS = 1_200;

	private final SoakFleet fleet;

	private final RandomGenerator random;

	private final AtomicBoolean stopped;

	SoakNotices(SoakFleet fleet, RandomGenerator random, AtomicBoolean stopped) {
		this.fleet = fleet;
		this.random = random;
		this.stopped = stopped;
	}

	@Override
	public void run() {
		try {
			while (!this.stopped.get()) {
				int instance = this.random.nextInt(this.fleet.instanceCount());
				this.fleet.startNotice(instance, FIELDS.get(this.random.nextInt(FIELDS.size())));
				TimeUnit.MILLISECONDS.sleep(this.random.nextInt(MAX_MILLIS));
				this.fleet.endNotice(instance);
				TimeUnit.MILLISECONDS.sleep(this.random.nextInt(MAX_MILLIS));
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
