package org.rattanhead.decision.limit;

/**
 * When this daemon may start the next request on an instance with a limit.
 *
 * @param waitMillis the time until then, in milliseconds; 0 if it may start one now
 * @param perSecond the rate at which the daemons that reach each other may start requests
 * @param startsPerSecond the requests a second that they started recently
 */
public record Turn(double waitMillis, double perSecond, double startsPerSecond) {
}
