package org.rattanhead.daemon.soak;

/**
 * A fault with a beginning and an end.
 *
 * @param name names it in the log
 * @param begin injects it
 * @param end ends it
 */
record SoakFault(String name, SoakAction begin, SoakAction end) {
}
