package org.rattanhead.core.forward;

import java.util.List;

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
 */
public record AnswerHead(int status, List<HttpField> fields, AnswerVerdict verdict, boolean streamed, boolean delimited,
		String faultAddress) {
}
