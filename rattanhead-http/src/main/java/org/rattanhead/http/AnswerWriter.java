package org.rattanhead.http;

import org.rattanhead.core.Payload;
import org.rattanhead.core.problem.Problem;
import org.rattanhead.core.request.RequestId;

/**
 * Writes responses to callers. Calls for a request whose caller has disconnected have no
 * effect.
 */
public interface AnswerWriter {

	/**
	 * Sends status and header fields.
	 * @param request the request
	 * @param upstream the upstream that sends the response
	 * @param status the HTTP status
	 * @param contentType the content type of the response
	 */
	void start(RequestId request, String upstream, int status, String contentType);

	/**
	 * Sends a part of the body.
	 * @param request the request
	 * @param bytes the bytes
	 */
	void write(RequestId request, Payload bytes);

	/**
	 * Ends a complete response.
	 * @param request the request
	 */
	void end(RequestId request);

	/**
	 * Sends a problem document as the response.
	 * @param request the request
	 * @param problem the problem
	 */
	void refuse(RequestId request, Problem problem);

	/**
	 * Ends a response that has started, with an error event if it is streamed, and closes
	 * the connection.
	 * @param request the request
	 * @param problem the problem
	 */
	void abort(RequestId request, Problem problem);

}
