package org.rattanhead.client;

/**
 * A call in progress.
 */
public interface OngoingCall {

	/**
	 * Closes the connection of the call. The observer receives
	 * {@link CallFailure#ABORTED} unless the call has ended.
	 */
	void abort();

	/**
	 * Allows further bytes of the body to be delivered, beyond
	 * {@link ReplyObserver#windowBytes()} and earlier grants. Has no effect on a call
	 * that has ended.
	 * @param bytes the number of bytes
	 */
	void grant(long bytes);

}
