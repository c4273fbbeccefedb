package org.rattanhead.http.forward;

import org.rattanhead.core.Payload;
import org.rattanhead.core.forward.ForwardRequest;
import org.rattanhead.core.problem.Problem;

/**
 * Translates between the wire format of callers and the forwarding decisions.
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
	 * @param problem the reason of the refusal
	 * @return the response for the caller
	 */
	RefusalReply refuse(Problem problem);

}
