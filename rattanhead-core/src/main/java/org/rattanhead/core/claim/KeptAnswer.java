package org.rattanhead.core.claim;

import org.rattanhead.core.Payload;

/**
 * The stored answer to a request that may not be repeated, returned when the request is
 * sent again.
 *
 * @param status the HTTP status
 * @param contentType the type of the body
 * @param body the body
 */
public record KeptAnswer(int status, String contentType, Payload body) {

	/** The largest body that is stored, in bytes. */
	public static final int MAX_BODY_BYTES = 64 * 1024;

}
