package org.rattanhead.standin.engine;

/**
 * A load report and when it was true.
 *
 * @param atNanos when
 * @param load the report
 */
record TimedLoad(long atNanos, LoadBody load) {
}
