package org.rattanhead.daemon.soak;

/**
 * The answer that a caller received to one attempt.
 *
 * @param attempt the id of the attempt
 * @param path the path
 * @param answer the answer with its head; ends with {@code <closed>} if incomplete
 */
record SoakOutcome(String attempt, String path, String answer) {

	private static final int STATUS_START = 9;

	private static final int STATUS_END = 12;

	/**
	 * Returns the status of a complete answer.
	 * @return the status, 0 if the answer is incomplete
	 */
	int status() {
		boolean complete = this.answer.startsWith("HTTP/1.1 ") && !this.answer.endsWith("<closed>");
		return complete ? Integer.parseInt(this.answer.substring(STATUS_START, STATUS_END)) : 0;
	}

}
