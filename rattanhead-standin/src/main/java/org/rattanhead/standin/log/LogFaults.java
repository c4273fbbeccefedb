package org.rattanhead.standin.log;

/**
 * Faults that can be injected into the log service.
 *
 * @param down whether every append and read fails with status 503
 * @param loseAnswers whether appends take effect but close the connection without an
 * answer
 * @param delayMillis delay of each answer, in milliseconds
 */
public record LogFaults(boolean down, boolean loseAnswers, long delayMillis) {

	/** No faults. */
	public static final LogFaults NONE = new LogFaults(false, false, 0);

}
