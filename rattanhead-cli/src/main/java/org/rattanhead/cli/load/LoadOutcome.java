package org.rattanhead.cli.load;

/**
 * The outcome of one request.
 *
 * @param request the request
 * @param status the HTTP status, 0 if there was no answer
 * @param detail the type of the problem or the transport failure, empty if there was none
 * @param complete whether the answer ended with the end-of-stream marker
 * @param correct whether the answer is complete and the expected one
 * @param firstTokenMicros time from the planned arrival to the first token, in
 * microseconds; -1 if there was none
 * @param totalMicros time from the planned arrival to the end, in microseconds
 */
public record LoadOutcome(PlannedRequest request, int status, String detail, boolean complete, boolean correct,
		long firstTokenMicros, long totalMicros) {

	/**
	 * Returns whether the request was answered completely and correctly.
	 * @return true if so
	 */
	public boolean answeredCorrectly() {
		return this.complete && this.correct;
	}

}
