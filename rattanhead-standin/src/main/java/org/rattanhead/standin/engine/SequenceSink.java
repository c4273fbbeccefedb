package org.rattanhead.standin.engine;

/**
 * Receives the answer to one request.
 */
interface SequenceSink {

	/**
	 * Receives one token.
	 * @param answerId the id that the answer carries
	 * @param index the position of the token, from 0
	 */
	void onToken(String answerId, int index);

	/**
	 * Receives the end of a complete answer.
	 * @param answerId the id that the answer carries
	 */
	void onEnd(String answerId);

	/**
	 * Rejects the request because its fencing number is stale.
	 */
	void onFencingRejected();

	/**
	 * Closes the connection.
	 */
	void onReset();

}
