package org.rattanhead.http.forward;

import org.rattanhead.decision.forward.AbortReply;
import org.rattanhead.decision.forward.BeginReply;
import org.rattanhead.decision.forward.ContinueReply;
import org.rattanhead.decision.forward.FinishReply;
import org.rattanhead.decision.forward.RefuseRequest;

/**
 * Writes responses to callers. Calls for a request whose caller has disconnected have no
 * effect.
 */
public interface ForwardReplyWriter {

	/**
	 * Sends status and header fields.
	 * @param command the status and header fields
	 */
	void begin(BeginReply command);

	/**
	 * Sends a part of the body.
	 * @param command the part
	 */
	void write(ContinueReply command);

	/**
	 * Ends a complete response.
	 * @param command the request
	 */
	void finish(FinishReply command);

	/**
	 * Aborts a response by closing the connection of the caller.
	 * @param command the request
	 */
	void abort(AbortReply command);

	/**
	 * Sends a refusal.
	 * @param command the refusal
	 */
	void refuse(RefuseRequest command);

	/**
	 * Makes every response that starts from now on close its connection.
	 */
	void closeAfterAnswers();

}
