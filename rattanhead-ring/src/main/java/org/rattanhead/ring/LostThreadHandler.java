package org.rattanhead.ring;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Ends the process when one of its threads ends by an exception or an error. A process
 * that lacks a thread, such as the one that reads from callers, still looks alive and
 * accepts requests that nobody answers.
 */
public final class LostThreadHandler implements Thread.UncaughtExceptionHandler {

	private static final Logger LOGGER = LogManager.getLogger(LostThreadHandler.class);

	private static final int THREAD_LOST_STATUS = 70;

	private final Runnable onThreadLost;

	LostThreadHandler(Runnable onThreadLost) {
		this.onThreadLost = onThreadLost;
	}

	/**
	 * Installs the handler for all threads of the process. The exit runs the shutdown
	 * hooks, so that the threads that are left end what they can.
	 */
	public static void install() {
		Thread.setDefaultUncaughtExceptionHandler(new LostThreadHandler(() -> System.exit(THREAD_LOST_STATUS)));
	}

	@Override
	public void uncaughtException(Thread thread, Throwable failure) {
		try {
			LOGGER.error("ring: thread {} ended; the process ends, since nobody does its work", thread.getName(),
					failure);
		}
		finally {
			this.onThreadLost.run();
		}
	}

}
