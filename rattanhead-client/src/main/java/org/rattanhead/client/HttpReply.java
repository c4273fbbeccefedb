package org.rattanhead.client;

import org.rattanhead.core.Payload;

/**
 * A complete reply.
 *
 * @param head status and header fields
 * @param body the body
 */
public record HttpReply(HttpHead head, Payload body) {

	/**
	 * Returns the status code.
	 * @return the status code
	 */
	public int status() {
		return this.head.status();
	}

}
