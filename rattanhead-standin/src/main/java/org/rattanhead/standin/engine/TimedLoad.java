package org.rattanhead.standin.engine;

/**
 * A load report and the time of its measurement.
 *
 * @param measuredNanos the time of measurement
 * @param load the report
 */
record TimedLoad(long measuredNanos, LoadBody load) {
}
