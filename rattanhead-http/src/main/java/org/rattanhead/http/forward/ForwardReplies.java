package org.rattanhead.http.forward;

import org.rattanhead.decision.forward.AbortReply;
import org.rattanhead.decision.forward.BeginReply;
import org.rattanhead.decision.forward.ContinueReply;
import org.rattanhead.decision.forward.FinishReply;
import org.rattanhead.decision.forward.RefuseRequest;

/**
 * Writes answers to callers. Calls for a request whose caller is gone have no effect.
 */
public interface ForwardReplies {

	/**
	 * Sends status and header fields.
	 * @param command the head
	 */
	void begin(BeginReply command);

	/**
	 * Sends a part of the answer.
	 * @param command the part
	 */
	void proceed(ContinueReply command);

	/**
	 * Ends a whole answer.
	 * @param command the end
	 */
	void finish(FinishReply command);

	/**
	 * Closes the connection of the caller.
	 * @param command the request
	 */
	void breakOff(AbortReply command);

	/**
	 * Sends a refusal.
	 * @param command the refusal
	 */
	void refuse(RefuseRequest command);

	/**
	 * Asks callers to close their connections after their current answer.
	 */
	void closeAfterAnswers();

}
