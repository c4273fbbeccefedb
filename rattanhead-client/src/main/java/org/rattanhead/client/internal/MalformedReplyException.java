package org.rattanhead.client.internal;

import java.io.IOException;

/**
 * Thrown when a server sends bytes that are no reply, or that belong to no call.
 */
final class MalformedReplyException extends IOException {

	private static final long serialVersionUID = 1L;

	MalformedReplyException(String detail) {
		super(detail + "; check that the server speaks HTTP/1.1");
	}

}
