package org.rattanhead.core.problem;

/**
 * A failure of an operation whose message names the remedy. The command line prints the
 * message without a stack trace.
 */
public final class RemedyException extends RuntimeException {

	private static final long serialVersionUID = 1L;

	/**
	 * Describes the failure and its remedy.
	 * @param fault what went wrong
	 * @param remedy how to correct it
	 */
	public RemedyException(String fault, String remedy) {
		super(fault + "; " + remedy);
	}

	/**
	 * Describes the failure, its remedy and its cause.
	 * @param fault what went wrong
	 * @param remedy how to correct it
	 * @param cause the cause
	 */
	public RemedyException(String fault, String remedy, Throwable cause) {
		super(fault + "; " + remedy, cause);
	}

}
