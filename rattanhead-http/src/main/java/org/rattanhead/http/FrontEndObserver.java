package org.rattanhead.http;

import org.rattanhead.core.problem.ProblemKind;

/**
 * Receives refusals and latencies of the front end.
 */
public interface FrontEndObserver {

	/**
	 * A request was refused before it was offered to the edge.
	 * @param kind the kind of problem
	 */
	void onRefused(ProblemKind kind);

	/**
	 * The start of a response was submitted to the caller's connection.
	 * @param seconds the time since the request was decoded
	 */
	void onFirstBytes(double seconds);

}
