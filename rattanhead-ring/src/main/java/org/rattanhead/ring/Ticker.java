package org.rattanhead.ring;

import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/**
 * A timer thread that runs short actions once or periodically. Duties use it to receive
 * tick events.
 */
public final class Ticker implements AutoCloseable {

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
	 * Runs an action periodically, with a fixed delay between the end of one run and the
	 * start of the next.
	 * @param delayMillis the delay before the first run and between runs, in milliseconds
	 * @param action the action; it must not block
	 */
	public void every(long delayMillis, Runnable action) {
		this.executor.scheduleWithFixedDelay(() -> runAndLogFailure(action), delayMillis, delayMillis,
				TimeUnit.MILLISECONDS);
	}

	/**
	 * Runs an action once.
	 * @param delayMillis the delay, in milliseconds
	 * @param action the action; it must not block
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
		catch (RuntimeException | OutOfMemoryError | StackOverflowError ex) {
			// The executor would never run a periodic action again.
			FailureLog.write("ring: scheduled action failed; a periodic action runs again after its delay", ex);
		}
	}

}
