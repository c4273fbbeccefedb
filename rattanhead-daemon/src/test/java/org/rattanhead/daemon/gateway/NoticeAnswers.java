package org.rattanhead.daemon.gateway;

import java.nio.charset.StandardCharsets;

import org.rattanhead.adapter.standin.RawAnswer;
import org.rattanhead.adapter.standin.RawRequest;

/**
 * Answers of instances that speak of themselves in header fields.
 */
final class NoticeAnswers {

	private NoticeAnswers() {
	}

	/**
	 * Builds a complete answer, a stream on the routes of streams.
	 * @param request the request
	 * @param status the status code and text
	 * @param fields further header fields, each with its line end
	 * @return the answer
	 */
	static RawAnswer of(RawRequest request, String status, String fields) {
		boolean streamed = request.target().startsWith("/ask/") && status.startsWith("200");
		String body = streamed ? "id: 1\ndata: e1\n\n" : "answer";
		return new RawAnswer(("HTTP/1.1 " + status + "\r\nX-Attempt-Id: " + request.header("X-Attempt-Id")
				+ "\r\nX-Response-Signature: s\r\n" + fields + (streamed ? "Content-Type: text/event-stream\r\n" : "")
				+ "Content-Length: " + body.length() + "\r\n\r\n" + body)
			.getBytes(StandardCharsets.UTF_8), false, 0);
	}

}
