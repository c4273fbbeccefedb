package org.rattanhead.standin.http;

import org.rattanhead.core.Payload;

/**
 * An HTTP reply of a stand-in.
 *
 * @param status the HTTP status, or {@link #NO_ANSWER}
 * @param json the body
 */
public record Reply(int status, Payload json) {

	/** The status of a reply that closes the connection without an answer. */
	public static final int NO_ANSWER = 0;

	private static final int OK = 200;

	/**
	 * Creates a reply with status 200.
	 * @param value the body, encoded as JSON
	 * @return the reply
	 */
	public static Reply ok(Object value) {
		return of(OK, value);
	}

	/**
	 * Creates a reply with the given status.
	 * @param status the status
	 * @param value the body, encoded as JSON
	 * @return the reply
	 */
	public static Reply of(int status, Object value) {
		return new Reply(status, Payload.of(Replies.MAPPER.valueToTree(value).toString()));
	}

	/**
	 * Creates a reply that closes the connection without an answer.
	 * @return the reply
	 */
	public static Reply noAnswer() {
		return new Reply(NO_ANSWER, Payload.EMPTY);
	}

}
