package org.rattanhead.client.internal;

/**
 * Handles a line of a reply.
 */
@FunctionalInterface
interface LineHandler {

	/**
	 * Handles a line.
	 * @param line the line without its end
	 * @throws MalformedReplyException if the line is not allowed in its place
	 */
	void accept(String line) throws MalformedReplyException;

}
