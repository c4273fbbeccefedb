package org.rattanhead.standin.log;

/**
 * Faults of the log service, set through its API.
 *
 * @param down whether every call is refused
 * @param loseAnswers whether appends take effect but their answers are lost
 * @param delayMillis how long answers are held back, in milliseconds
 */
public record LogFaults(boolean down, boolean loseAnswers, long delayMillis) {

	/** No faults. */
	public static final LogFaults NONE = new LogFaults(false, false, 0);

}
