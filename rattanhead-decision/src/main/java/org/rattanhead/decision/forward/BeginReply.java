package org.rattanhead.decision.forward;

import java.util.List;

import org.rattanhead.core.HttpField;
import org.rattanhead.core.request.RequestId;

/**
 * Sends status and header fields to a caller.
 *
 * @param request the request
 * @param status the HTTP status
 * @param fields the header fields
 * @param lengthBytes the length of the body, in bytes; {@link #UNKNOWN_LENGTH} if unknown
 */
public record BeginReply(RequestId request, int status, List<HttpField> fields,
		long lengthBytes) implements ForwardCommand {

	/** Stands for a length that is not known when the head is sent. */
	public static final long UNKNOWN_LENGTH = -1;

}
