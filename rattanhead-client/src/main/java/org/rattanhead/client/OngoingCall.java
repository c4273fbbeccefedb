package org.rattanhead.client;

/**
 * A call in progress.
 */
@FunctionalInterface
public interface OngoingCall {

	/**
	 * Closes the connection of the call. The observer receives
	 * {@link CallFailure#ABORTED} unless the call has ended.
	 */
	void abort();

}
