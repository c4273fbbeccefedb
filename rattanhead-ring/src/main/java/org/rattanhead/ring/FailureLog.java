package org.rattanhead.ring;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Logs the failures that a thread survives.
 */
final class FailureLog {

	private static final Logger LOGGER = LogManager.getLogger(FailureLog.class);

	private FailureLog() {
	}

	/**
	 * Logs a failure. If there is no memory for the line either, it is left out, so that
	 * the thread goes on.
	 * @param message what failed and what happens next
	 * @param failure the failure
	 */
	static void write(String message, Throwable failure) {
		try {
			LOGGER.error(message, failure);
		}
		catch (OutOfMemoryError | StackOverflowError ex) {
			// The thread is needed more than the line.
		}
	}

}
