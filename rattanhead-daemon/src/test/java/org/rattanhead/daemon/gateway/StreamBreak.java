package org.rattanhead.daemon.gateway;

import java.nio.charset.StandardCharsets;
import java.util.function.BiFunction;

import org.rattanhead.adapter.standin.RawAnswer;
import org.rattanhead.adapter.standin.RawRequest;

/**
 * Why a response ends before its last byte.
 */
enum StreamBreak {

	/** The gateway stops while the instance is still sending. */
	GRACE_ENDS((request, call) -> stream(request, "")),

	/** The instance closes its connection, and the next call gets no answer. */
	INSTANCE_BREAKS((request, call) -> (call == 0) ? stream(request, "").truncated(0) : RawAnswer.connectionClose()),

	/** The instance breaks off a plain response that is too large to be buffered. */
	LARGE_PLAIN_BREAKS(
			(request, call) -> chunked(request, "text/plain", firstBytes() + "x".repeat(600_000), "").truncated(0));

	static final String FIRST_BYTES = firstBytes();

	static final String EVENTS = FIRST_BYTES + "data: e1\n\nid: 2\ndata: e2\n\n";

	private final BiFunction<RawRequest, Integer, RawAnswer> script;

	StreamBreak(BiFunction<RawRequest, Integer, RawAnswer> script) {
		this.script = script;
	}

	/**
	 * Answers a request.
	 * @param request the request
	 * @param call the number of calls before
	 * @return the answer
	 */
	RawAnswer answer(RawRequest request, int call) {
		return this.script.apply(request, call);
	}

	/**
	 * Answers a request with a whole stream.
	 * @param request the request
	 * @return the answer
	 */
	static RawAnswer whole(RawRequest request) {
		return stream(request, "0\r\n\r\n");
	}

	private static RawAnswer stream(RawRequest request, String end) {
		return chunked(request, "text/event-stream", EVENTS, end);
	}

	private static RawAnswer chunked(RawRequest request, String type, String body, String end) {
		return new RawAnswer(("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + request.header("X-Attempt-Id")
				+ "\r\nX-Response-Signature: s\r\nContent-Type: " + type + "\r\nTransfer-Encoding: chunked\r\n\r\n"
				+ Integer.toHexString(body.length()) + "\r\n" + body + "\r\n" + end)
			.getBytes(StandardCharsets.UTF_8), false, 0);
	}

	private static String firstBytes() {
		return "id: 1\n";
	}

}
