package org.rattanhead.core.forward;

/**
 * Which requests on a route may be repeated.
 */
public enum RouteKind {

	/** A request may run more than once. */
	IDEMPOTENT,

	/** A request may run at most once. */
	AT_MOST_ONCE,

	/** The answer is a stream of numbered events. */
	STREAM

}
