package org.rattanhead.daemon.soak;

/**
 * What a caller saw of one attempt.
 *
 * @param attempt the id of the attempt
 * @param path the path
 * @param answer the answer with its head, or what came of it
 */
record SoakOutcome(String attempt, String path, String answer) {

	private static final int STATUS_START = 9;

	private static final int STATUS_END = 12;

	/**
	 * Returns the status of a whole answer.
	 * @return the status, 0 if no whole answer came
	 */
	int status() {
		boolean whole = this.answer.startsWith("HTTP/1.1 ") && !this.answer.endsWith("<closed>");
		return whole ? Integer.parseInt(this.answer.substring(STATUS_START, STATUS_END)) : 0;
	}

}
