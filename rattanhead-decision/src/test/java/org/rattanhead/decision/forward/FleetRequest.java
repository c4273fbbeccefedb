package org.rattanhead.decision.forward;

/**
 * A request to a {@link CrashingFleet}.
 *
 * @param atMillis when it arrived, in milliseconds
 * @param host the daemon that it arrived at
 * @param fatal whether its prompt has the part that crashes engines
 */
record FleetRequest(long atMillis, String host, boolean fatal) {
}
