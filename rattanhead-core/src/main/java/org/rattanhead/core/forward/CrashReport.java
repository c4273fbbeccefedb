package org.rattanhead.core.forward;

/**
 * The number of instance crashes attributed to a request.
 *
 * @param fingerprint the fingerprint of the request
 * @param count the number of crashes that one daemon observed
 */
public record CrashReport(long fingerprint, int count) {
}
