package org.rattanhead.daemon.soak;

/**
 * A fault with a beginning and an end.
 *
 * @param name the name in failure messages
 * @param begin injects the fault
 * @param end ends the fault
 */
record SoakFault(String name, SoakAction begin, SoakAction end) {
}
