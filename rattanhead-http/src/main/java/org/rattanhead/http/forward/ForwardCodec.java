package org.rattanhead.http.forward;

import org.rattanhead.core.Payload;
import org.rattanhead.core.forward.ForwardRequest;
import org.rattanhead.core.problem.Problem;

/**
 * Translates between decisions and what callers speak.
 */
public interface ForwardCodec {

	/**
	 * Decodes a request.
	 * @param head its head
	 * @param body its body
	 * @return the request
	 * @throws org.rattanhead.core.problem.ProblemException if the head is malformed
	 */
	ForwardRequest decode(RequestHead head, Payload body);

	/**
	 * Encodes a refusal.
	 * @param problem why there is no answer
	 * @return the answer for the caller
	 */
	RefusalReply refuse(Problem problem);

}
