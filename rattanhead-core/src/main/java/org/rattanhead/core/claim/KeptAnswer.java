package org.rattanhead.core.claim;

import org.rattanhead.core.Payload;

/**
 * The answer to a request that may not be repeated, kept for those who send it again.
 *
 * @param status the HTTP status
 * @param contentType the type of the body
 * @param body the body
 */
public record KeptAnswer(int status, String contentType, Payload body) {

	/** The longest body that is kept, in bytes. */
	public static final int MAX_BODY_BYTES = 64 * 1024;

}
