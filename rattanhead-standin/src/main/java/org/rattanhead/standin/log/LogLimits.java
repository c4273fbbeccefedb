package org.rattanhead.standin.log;

/**
 * Limits of the log service.
 *
 * @param appendsPerSecond appends accepted per second
 * @param retainedRecords records retained for each stream
 */
public record LogLimits(int appendsPerSecond, int retainedRecords) {

	/** Limits of an ordinary deployment. */
	public static final LogLimits DEFAULT = new LogLimits(300, 1_000_000);

}
