package org.rattanhead.decision.forward;

import org.rattanhead.core.request.RequestId;

/**
 * Bytes of a reply body were written to the connection of the caller. They are reported
 * from time to time, so that a short reply may end without a report.
 *
 * @param request the request
 * @param bytes the number of bytes since the last report
 */
public record ReplyWritten(RequestId request, long bytes) implements ForwardEvent {

	/** The number of bytes from which they are reported. */
	public static final long MIN_REPORT_BYTES = 8 * 1024;

}
