package org.rattanhead.core.forward;

import java.util.List;
import java.util.OptionalDouble;

import org.rattanhead.core.HttpField;

/**
 * The status and header fields of an instance's answer.
 *
 * @param status the HTTP status
 * @param fields the header fields to pass on
 * @param verdict what the head says about the execution of the request
 * @param streamed whether the body is a stream of events
 * @param delimited whether the body has a length or chunks; otherwise it ends with the
 * connection
 * @param faultAddress the address of the instance at fault if it is another one,
 * otherwise empty
 * @param limitPerSecond the limit that the instance names, empty if it names none
 */
public record AnswerHead(int status, List<HttpField> fields, AnswerVerdict verdict, boolean streamed, boolean delimited,
		String faultAddress, OptionalDouble limitPerSecond) {

	/**
	 * Creates the head of an answer that names no limit.
	 * @param status the HTTP status
	 * @param fields the header fields to pass on
	 * @param verdict what the head says about the execution of the request
	 * @param streamed whether the body is a stream of events
	 * @param delimited whether the body has a length or chunks
	 * @param faultAddress the address of the instance at fault, empty if it is this one
	 */
	public AnswerHead(int status, List<HttpField> fields, AnswerVerdict verdict, boolean streamed, boolean delimited,
			String faultAddress) {
		this(status, fields, verdict, streamed, delimited, faultAddress, OptionalDouble.empty());
	}

}
