package org.rattanhead.ring;

import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * A thread that runs short actions at fixed periods, so that duties can notice the
 * passing of time.
 */
public final class Ticker implements AutoCloseable {

	private static final Logger LOGGER = LogManager.getLogger(Ticker.class);

	private final ScheduledThreadPoolExecutor executor;

	/**
	 * Starts the thread.
	 * @param name the name of the thread
	 */
	public Ticker(String name) {
		this.executor = new ScheduledThreadPoolExecutor(1, (task) -> {
			Thread thread = new Thread(task, name);
			thread.setDaemon(true);
			return thread;
		});
		this.executor.setRemoveOnCancelPolicy(true);
	}

	/**
	 * Runs an action at a fixed period.
	 * @param delayMillis the period, in milliseconds
	 * @param action the action; it must not wait
	 */
	public void every(long delayMillis, Runnable action) {
		this.executor.scheduleWithFixedDelay(() -> runAndLogFailure(action), delayMillis, delayMillis,
				TimeUnit.MILLISECONDS);
	}

	/**
	 * Runs an action once.
	 * @param delayMillis the delay, in milliseconds
	 * @param action the action; it must not wait
	 */
	public void after(long delayMillis, Runnable action) {
		this.executor.schedule(() -> runAndLogFailure(action), delayMillis, TimeUnit.MILLISECONDS);
	}

	@Override
	public void close() {
		this.executor.shutdownNow();
	}

	private static void runAndLogFailure(Runnable action) {
		try {
			action.run();
		}
		catch (RuntimeException ex) {
			LOGGER.error("ring: a periodic action failed and will run again", ex);
		}
	}

}
