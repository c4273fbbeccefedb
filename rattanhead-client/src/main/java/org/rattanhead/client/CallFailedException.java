package org.rattanhead.client;

/**
 * The failure of a call made with {@link HttpClient#call}.
 */
public final class CallFailedException extends RuntimeException {

	private static final long serialVersionUID = 1L;

	private final CallFailure failure;

	/**
	 * Creates an exception.
	 * @param failure how the call failed
	 * @param detail what happened
	 */
	public CallFailedException(CallFailure failure, String detail) {
		super(failure + ": " + detail + "; check that the address is right and the process there is up");
		this.failure = failure;
	}

	/**
	 * Returns how the call failed.
	 * @return the failure
	 */
	public CallFailure failure() {
		return this.failure;
	}

}
