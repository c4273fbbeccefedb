package org.rattanhead.http;

import org.rattanhead.core.problem.ProblemKind;

/**
 * Hears what the front end measures.
 */
public interface FrontEndObserver {

	/**
	 * A request was refused before any decision.
	 * @param kind why
	 */
	void onRefused(ProblemKind kind);

	/**
	 * The first part of an answer was handed to the caller's connection.
	 * @param seconds the time since the request was decoded
	 */
	void onFirstBytes(double seconds);

}
