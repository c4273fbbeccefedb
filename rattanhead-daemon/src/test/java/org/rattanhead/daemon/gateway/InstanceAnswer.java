package org.rattanhead.daemon.gateway;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.function.BiFunction;

import org.rattanhead.adapter.standin.RawAnswer;
import org.rattanhead.adapter.standin.RawRequest;

/**
 * What an instance does with a call.
 */
enum InstanceAnswer {

	/** Closes the connection without a byte. */
	CLOSES((request, call) -> RawAnswer.connectionClose()),

	/** Answers the first call on each connection, and closes at the next one. */
	CLOSES_KEPT((request, call) -> (call % 2 == 1) ? GatewayRig.signed(request, "right") : RawAnswer.connectionClose()),

	/** Closes the connection after an answer that does not say so. */
	CLOSES_AFTER((request, call) -> new RawAnswer(GatewayRig.signed(request, "right").bytes(), true, 0)),

	/** Sends an interim answer before the right one. */
	CONTINUES(
			(request, call) -> raw("HTTP/1.1 100 Continue\r\n\r\n" + text(GatewayRig.signed(request, "right")), false)),

	/** Sends early hints before the right answer. */
	HINTS((request, call) -> raw(
			"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + text(GatewayRig.signed(request, "right")), false)),

	/** Answers without a body or a length. */
	NO_CONTENT((request, call) -> raw(head(request, "204 No Content", ""), false)),

	/** Answers that nothing has changed. */
	NOT_MODIFIED((request, call) -> raw(head(request, "304 Not Modified", "ETag: e\r\n"), false)),

	/** Answers with fewer bytes than it announced. */
	SHORT((request, call) -> GatewayRig.signed(request, "right").truncated(2)),

	/** Answers with more bytes than it announced. */
	LONG((request, call) -> GatewayRig.signed(request, "right").followedBy("and more")),

	/** Answers nothing while the caller waits. */
	SILENT((request, call) -> GatewayRig.signed(request, "right").delayedBy(20_000)),

	/** Sends a head and then nothing. */
	STOPS_AFTER_HEAD((request, call) -> raw(head(request, "200 OK", "Content-Length: 5\r\n"), false)),

	/** Sends bytes that are no answer. */
	NONSENSE((request, call) -> raw("nonsense\r\n\r\n", true)),

	/** Answers that it did not run the request. */
	NOT_RUN((request, call) -> RawAnswer.of(503,
			List.of("X-Attempt-Id: " + request.header("X-Attempt-Id"), "X-Not-Executed: 1"), "busy"));

	private final BiFunction<RawRequest, Integer, RawAnswer> script;

	InstanceAnswer(BiFunction<RawRequest, Integer, RawAnswer> script) {
		this.script = script;
	}

	RawAnswer answer(RawRequest request, int call) {
		return this.script.apply(request, call);
	}

	private static String head(RawRequest request, String status, String fields) {
		return "HTTP/1.1 " + status + "\r\nX-Attempt-Id: " + request.header("X-Attempt-Id")
				+ "\r\nX-Response-Signature: s\r\n" + fields + "\r\n";
	}

	private static String text(RawAnswer answer) {
		return new String(answer.bytes(), StandardCharsets.US_ASCII);
	}

	private static RawAnswer raw(String text, boolean close) {
		return new RawAnswer(text.getBytes(StandardCharsets.US_ASCII), close, 0);
	}

}
