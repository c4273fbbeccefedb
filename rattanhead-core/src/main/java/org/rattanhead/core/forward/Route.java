package org.rattanhead.core.forward;

import java.util.List;

/**
 * A route of the configuration in force.
 *
 * @param host the Host header that it serves
 * @param pathPrefix the start of the paths that it serves, with a slash at both ends
 * @param kind what may be repeated
 * @param shares the services that take its requests
 * @param maxAttempts the most upstream instances that may run one attempt of a caller
 * @param timeoutMillis the longest time a caller waits, in milliseconds
 * @param targetLatencyMillis the time to the first byte that callers want, in
 * milliseconds
 * @param targetGapMillis the longest pause between events that callers want, in
 * milliseconds; 0 if the answers are no streams
 * @param rank the priority, 0 is the highest
 * @param open whether no key is needed
 * @param resumable whether a stream may go on at another upstream instance
 */
public record Route(String host, String pathPrefix, RouteKind kind, List<ServiceShare> shares, int maxAttempts,
		long timeoutMillis, long targetLatencyMillis, long targetGapMillis, int rank, boolean open, boolean resumable) {

	/**
	 * Tells whether a request may run more than once.
	 * @return true if it may
	 */
	public boolean repeatable() {
		return this.kind == RouteKind.IDEMPOTENT || (this.kind == RouteKind.STREAM && this.resumable);
	}

}
