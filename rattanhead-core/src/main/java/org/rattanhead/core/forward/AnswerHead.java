package org.rattanhead.core.forward;

import java.util.List;

import org.rattanhead.core.HttpField;

/**
 * The head of an instance's answer.
 *
 * @param status the HTTP status
 * @param fields the header fields to pass on
 * @param verdict what it says about the execution
 * @param streamed whether the body is a stream of events
 * @param faultAddress the instance at fault, if it is another one; empty text otherwise
 */
public record AnswerHead(int status, List<HttpField> fields, AnswerVerdict verdict, boolean streamed,
		String faultAddress) {
}
