package org.rattanhead.standin.http;

import org.rattanhead.core.Payload;

/**
 * A reply of a stand-in.
 *
 * @param status the HTTP status, or {@link #NO_ANSWER}
 * @param json the body
 */
public record Reply(int status, Payload json) {

	/** The status that stands for closing the connection without an answer. */
	public static final int NO_ANSWER = 0;

	private static final int OK = 200;

	/**
	 * Replies with status 200.
	 * @param value the body, encoded as JSON
	 * @return the reply
	 */
	public static Reply ok(Object value) {
		return of(OK, value);
	}

	/**
	 * Replies with a status.
	 * @param status the status
	 * @param value the body, encoded as JSON
	 * @return the reply
	 */
	public static Reply of(int status, Object value) {
		return new Reply(status, Payload.of(Replies.MAPPER.valueToTree(value).toString()));
	}

	/**
	 * Closes the connection without a reply.
	 * @return the reply
	 */
	public static Reply noAnswer() {
		return new Reply(NO_ANSWER, Payload.EMPTY);
	}

}
