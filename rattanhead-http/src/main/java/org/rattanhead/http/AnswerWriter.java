package org.rattanhead.http;

import org.rattanhead.core.Payload;
import org.rattanhead.core.problem.Problem;
import org.rattanhead.core.request.RequestId;

/**
 * Writes answers to callers. Calls for a request whose caller is gone have no effect.
 */
public interface AnswerWriter {

	/**
	 * Sends status and header fields.
	 * @param request the request
	 * @param upstream the upstream that answers
	 * @param status the HTTP status
	 * @param contentType the type of the answer
	 */
	void start(RequestId request, String upstream, int status, String contentType);

	/**
	 * Sends a part of the answer.
	 * @param request the request
	 * @param bytes the bytes
	 */
	void write(RequestId request, Payload bytes);

	/**
	 * Ends a whole answer.
	 * @param request the request
	 */
	void end(RequestId request);

	/**
	 * Sends a problem document instead of an answer.
	 * @param request the request
	 * @param problem the problem
	 */
	void refuse(RequestId request, Problem problem);

	/**
	 * Ends an answer that has begun with an error.
	 * @param request the request
	 * @param problem the problem
	 */
	void breakOff(RequestId request, Problem problem);

}
