package org.rattanhead.upstream.internal;

/**
 * An answer is incomplete or malformed, or belongs to another attempt.
 */
final class InvalidAnswerException extends Exception {

	private static final long serialVersionUID = 1L;

	private final boolean crossed;

	InvalidAnswerException(String message, boolean crossed) {
		super(message);
		this.crossed = crossed;
	}

	InvalidAnswerException(String message, Throwable cause) {
		super(message, cause);
		this.crossed = false;
	}

	boolean crossed() {
		return this.crossed;
	}

}
