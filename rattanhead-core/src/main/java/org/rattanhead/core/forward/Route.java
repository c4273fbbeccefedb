package org.rattanhead.core.forward;

import java.util.List;

/**
 * A route of the active configuration.
 *
 * @param host the Host header that it matches
 * @param pathPrefix the prefix of the paths that it matches, with a slash at both ends
 * @param kind which requests may be repeated
 * @param shares the services that receive its requests
 * @param maxAttempts the most upstream instances that may run one attempt of a caller
 * @param timeoutMillis the longest time a caller waits, in milliseconds
 * @param targetLatencyMillis the target time to the first byte, in milliseconds
 * @param targetGapMillis the target for the longest pause between events, in
 * milliseconds; 0 if the answers are not streams
 * @param rank the priority, 0 is the highest
 * @param open whether requests need no key
 * @param resumable whether a stream may be resumed at another upstream instance
 */
public record Route(String host, String pathPrefix, RouteKind kind, List<ServiceShare> shares, int maxAttempts,
		long timeoutMillis, long targetLatencyMillis, long targetGapMillis, int rank, boolean open, boolean resumable) {

	/**
	 * Returns whether a request may run more than once.
	 * @return true if it may
	 */
	public boolean repeatable() {
		return this.kind == RouteKind.IDEMPOTENT || (this.kind == RouteKind.STREAM && this.resumable);
	}

}
