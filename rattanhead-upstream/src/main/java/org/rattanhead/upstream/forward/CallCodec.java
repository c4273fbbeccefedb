package org.rattanhead.upstream.forward;

import org.rattanhead.client.HttpCall;
import org.rattanhead.client.HttpHead;
import org.rattanhead.core.forward.AnswerHead;
import org.rattanhead.core.forward.ForwardCall;
import org.rattanhead.core.forward.ServerNotice;
import org.rattanhead.core.forward.UpstreamInstance;
import org.rattanhead.decision.forward.Ticket;

/**
 * Translates between forwarding decisions and the HTTP interface of instances.
 */
public interface CallCodec {

	/**
	 * Encodes a request.
	 * @param call the request and the instance it is sent to
	 * @return the HTTP call
	 */
	HttpCall encode(ForwardCall call);

	/**
	 * Decodes the head of an answer.
	 * @param head status and header fields
	 * @param call the call it answers
	 * @return the decoded head
	 */
	AnswerHead decode(HttpHead head, ForwardCall call);

	/**
	 * Decodes what the instance says of itself in the head of any answer, of calls and of
	 * orders.
	 * @param head status and header fields
	 * @return the notice, {@link ServerNotice#NONE} if there is none
	 */
	ServerNotice notice(HttpHead head);

	/**
	 * Encodes a question that any instance answers at once, without a slot.
	 * @param instance the instance
	 * @param timeoutMillis the time-out, in milliseconds
	 * @return the HTTP call
	 */
	HttpCall probe(UpstreamInstance instance, long timeoutMillis);

	/**
	 * Encodes an order that reserves memory.
	 * @param ticket the reservation
	 * @param holdMillis the duration of the reservation, in milliseconds
	 * @return the HTTP call
	 */
	HttpCall reserve(Ticket ticket, long holdMillis);

	/**
	 * Encodes an order that releases memory.
	 * @param ticket the reservation
	 * @return the HTTP call
	 */
	HttpCall release(Ticket ticket);

}
