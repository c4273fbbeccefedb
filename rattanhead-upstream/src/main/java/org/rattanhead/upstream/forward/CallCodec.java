package org.rattanhead.upstream.forward;

import org.rattanhead.client.HttpCall;
import org.rattanhead.client.HttpHead;
import org.rattanhead.core.forward.AnswerHead;
import org.rattanhead.core.forward.ForwardCall;
import org.rattanhead.decision.forward.Ticket;

/**
 * Translates between decisions and what instances speak.
 */
public interface CallCodec {

	/**
	 * Encodes a request.
	 * @param call the request on its way to an instance
	 * @return the HTTP call
	 */
	HttpCall encode(ForwardCall call);

	/**
	 * Decodes the head of an answer.
	 * @param head status and header fields
	 * @param call the call that is answered
	 * @return what the head says
	 */
	AnswerHead decode(HttpHead head, ForwardCall call);

	/**
	 * Encodes an order that reserves memory.
	 * @param ticket the reservation
	 * @param holdMillis how long it holds, in milliseconds
	 * @return the HTTP call
	 */
	HttpCall reserve(Ticket ticket, long holdMillis);

	/**
	 * Encodes an order that gives memory back.
	 * @param ticket the reservation
	 * @return the HTTP call
	 */
	HttpCall release(Ticket ticket);

}
