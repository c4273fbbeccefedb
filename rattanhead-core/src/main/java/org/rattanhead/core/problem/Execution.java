package org.rattanhead.core.problem;

/**
 * Whether a request that ended without an answer was run by an upstream.
 */
public enum Execution {

	/** No upstream ran the request. */
	NOT_RUN("not-run"),

	/** An upstream ran the request, or part of it, and it failed. */
	FAILED("failed"),

	/** It is unknown whether an upstream ran the request. */
	UNKNOWN("unknown");

	private final String label;

	Execution(String label) {
		this.label = label;
	}

	/**
	 * Returns the value shown to callers.
	 * @return the label
	 */
	public String label() {
		return this.label;
	}

}
