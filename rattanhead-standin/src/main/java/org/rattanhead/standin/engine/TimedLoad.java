package org.rattanhead.standin.engine;

/**
 * A load report and when it was true.
 *
 * @param measuredNanos when
 * @param load the report
 */
record TimedLoad(long measuredNanos, LoadBody load) {
}
