package org.rattanhead.core;

/**
 * Converts between milliseconds and nanoseconds.
 */
public final class Millis {

	private static final long NANOS_PER_MILLI = 1_000_000;

	private Millis() {
	}

	/**
	 * Converts milliseconds to nanoseconds.
	 * @param millis the time, in milliseconds
	 * @return the time, in nanoseconds
	 */
	public static long toNanos(long millis) {
		return millis * NANOS_PER_MILLI;
	}

	/**
	 * Converts nanoseconds to milliseconds, rounding towards zero.
	 * @param nanos the time, in nanoseconds
	 * @return the time, in milliseconds
	 */
	public static long ofNanos(long nanos) {
		return nanos / NANOS_PER_MILLI;
	}

}
