package org.rattanhead.core.forward;

/**
 * How often a request broke the instance that ran it.
 *
 * @param fingerprint the fingerprint of the request
 * @param count how often, as seen by one daemon
 */
public record CrashReport(long fingerprint, int count) {
}
