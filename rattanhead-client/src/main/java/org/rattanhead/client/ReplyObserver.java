package org.rattanhead.client;

import org.rattanhead.core.Payload;

/**
 * Receives a reply as it arrives, on an I/O thread. The failure of an aborted call is
 * reported on the thread that aborts the call or closes the client. Exactly one of
 * {@link #onEnd} and {@link #onFailure} ends it.
 */
public interface ReplyObserver {

	/**
	 * Receives status and header fields.
	 * @param head the head
	 */
	void onHead(HttpHead head);

	/**
	 * Receives a part of the body.
	 * @param bytes the bytes
	 * @return false to have the same bytes delivered again after a short delay
	 */
	boolean onBytes(Payload bytes);

	/**
	 * Receives the end of a complete reply.
	 */
	void onEnd();

	/**
	 * Receives the failure of the call.
	 * @param failure how it failed
	 * @param detail what happened
	 */
	void onFailure(CallFailure failure, String detail);

	/**
	 * Returns the size of the largest body that is accepted.
	 * @return the size, in bytes
	 */
	default long maxBodyBytes() {
		return Long.MAX_VALUE;
	}

	/**
	 * Returns how much of the body may be delivered before {@link OngoingCall#grant}
	 * allows more. The connection is not read while the window is used up. The last part
	 * may exceed the window by the size of one buffer.
	 * @return the size, in bytes
	 */
	default long windowBytes() {
		return Long.MAX_VALUE;
	}

}
