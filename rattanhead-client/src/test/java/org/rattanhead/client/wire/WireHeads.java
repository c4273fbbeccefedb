package org.rattanhead.client.wire;

import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/**
 * Replies whose heads differ. The sections named are those of RFC 9112, unless a line
 * names RFC 9110.
 */
final class WireHeads {

	private static final int MANY_FIELDS = 500;

	private static final String BODY = WireReply.BODY;

	private static final String FIELDS = WireReply.FIELDS;

	private static final String INVALID = WireReply.INVALID;

	private static final String OK = WireForms.OK;

	private static final String LENGTH = WireForms.LENGTH;

	private static final String CHUNKED = WireForms.CHUNKED;

	private static final String CHUNKS = WireForms.CHUNKS;

	private WireHeads() {
	}

	static Stream<WireReply> all() {
		return Stream.of(statusLines(), statuses(), interim(), fieldLines()).flatMap(List::stream);
	}

	/** Section 4, and RFC 9110, sections 2.5 and 15. */
	private static List<WireReply> statusLines() {
		return List.of(statusLine("reason phrase empty", "HTTP/1.1 200 ", OK),
				statusLine("no space after the status", "HTTP/1.1 200", OK),
				statusLine("reason phrase with obs-text", "HTTP/1.1 200 caf\u00e9\tx", OK),
				statusLine("higher minor version", "HTTP/1.2 200 OK", OK),
				statusLine("major version 2", "HTTP/2.0 200 OK", INVALID),
				statusLine("version of three digits", "HTTP/1.10 200 OK", INVALID),
				statusLine("version in lower case", "http/1.1 200 OK", INVALID),
				statusLine("other protocol", "ICY 200 OK", INVALID), statusLine("no status", "HTTP/1.1 OK", INVALID),
				statusLine("version only", "HTTP/1.1", INVALID),
				statusLine("two spaces before the status", "HTTP/1.1  200 OK", INVALID),
				statusLine("tab before the status", "HTTP/1.1\t200 OK", INVALID),
				statusLine("status without a space", "HTTP/1.1 200OK", INVALID),
				statusLine("status of two digits", "HTTP/1.1 20 OK", INVALID),
				statusLine("status of four digits", "HTTP/1.1 2000 OK", INVALID),
				statusLine("status with a sign", "HTTP/1.1 +20 OK", INVALID),
				statusLine("status with a letter", "HTTP/1.1 2O0 OK", INVALID),
				statusLine("control byte in the reason phrase", "HTTP/1.1 200 O\u0000K", INVALID),
				statusLine("bare CR in the reason phrase", "HTTP/1.1 200 O\rK", INVALID),
				statusLine("empty line before the status line", "\r\nHTTP/1.1 200 OK", INVALID),
				statusLine("header field before the status line", "A: b\r\nHTTP/1.1 200 OK", INVALID), WireForms
					.get("lines that end with LF", "HTTP/1.1 200 OK\n" + FIELDS + "Content-Length: 15\n\n" + BODY, OK));
	}

	/** RFC 9110, section 15, and section 6.3. */
	private static List<WireReply> statuses() {
		return List.of(statusLine("status 000", "HTTP/1.1 000 None", INVALID),
				statusLine("status 099", "HTTP/1.1 099 None", INVALID),
				statusLine("status 600", "HTTP/1.1 600 None", INVALID),
				statusLine("status 999", "HTTP/1.1 999 None", INVALID),
				statusLine("unknown status of a known class", "HTTP/1.1 299 Other", "299 " + BODY),
				statusLine("status 599", "HTTP/1.1 599 Other", "599 " + BODY),
				noBody("204 without fields", "204 No Content", "", "204 "),
				noBody("204 with length 0", "204 No Content", "Content-Length: 0\r\n", "204 "),
				WireForms.get("204 with a body", WireForms.head("204 No Content", LENGTH) + BODY, INVALID),
				WireForms.get("204 with chunks", WireForms.head("204 No Content", CHUNKED) + CHUNKS, INVALID),
				noBody("205 with length 0", "205 Reset Content", "Content-Length: 0\r\n", "205 "),
				WireForms.get("205 with a body", WireForms.head("205 Reset Content", LENGTH) + BODY, INVALID),
				WireForms.get("205 with a body in chunks", WireForms.head("205 Reset Content", CHUNKED) + CHUNKS,
						INVALID),
				noBody("304 with the length of the representation", "304 Not Modified", LENGTH, "304 "),
				noBody("304 with a coding", "304 Not Modified", CHUNKED, "304 "),
				noBody("304 with a spoilt length", "304 Not Modified", "Content-Length: 1x\r\n", INVALID),
				new WireReply("HEAD with the length of the representation", "HEAD", WireForms.head("200 OK", LENGTH),
						WireEnd.KEEPS, "200 "),
				new WireReply("HEAD with a coding", "HEAD", WireForms.head("200 OK", CHUNKED), WireEnd.KEEPS, "200 "),
				new WireReply("HEAD without a length", "HEAD", WireForms.head("200 OK", ""), WireEnd.KEEPS, "200 "),
				new WireReply("HEAD with a spoilt length", "HEAD", WireForms.head("200 OK", "Content-Length: -1\r\n"),
						WireEnd.KEEPS, INVALID));
	}

	/** RFC 9110, section 15.2. */
	private static List<WireReply> interim() {
		String last = WireForms.head("200 OK", LENGTH) + BODY;
		return List.of(WireForms.get("100 before the reply", "HTTP/1.1 100 Continue\r\n\r\n" + last, OK),
				WireForms.get("several interim replies",
						"HTTP/1.1 102 \r\n\r\nHTTP/1.1 103 Hints\r\nLink: x\r\n\r\nHTTP/1.1 199 x\r\n\r\n" + last, OK),
				WireForms.get("interim reply, then chunks",
						"HTTP/1.1 103 Hints\r\n\r\n" + WireForms.head("200 OK", CHUNKED) + CHUNKS, OK),
				WireForms.get("interim reply, then no body",
						"HTTP/1.1 100 Continue\r\n\r\n" + WireForms.head("204 No Content", ""), "204 "),
				WireForms.get("101 without an upgrade",
						"HTTP/1.1 101 Switching\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n" + last, INVALID),
				WireForms.get("interim reply with a body",
						"HTTP/1.1 100 Continue\r\nContent-Length: 4\r\n\r\nbody" + last, INVALID),
				WireForms.get("interim reply with a line that is no field",
						"HTTP/1.1 100 Continue\r\nspoilt\r\n\r\n" + last, INVALID),
				new WireReply("interim reply only", "GET", "HTTP/1.1 100 Continue\r\n\r\n", WireEnd.CLOSES, INVALID));
	}

	/** Section 5, and RFC 9110, sections 5.1 and 5.5. */
	private static List<WireReply> fieldLines() {
		String many = IntStream.range(0, MANY_FIELDS)
			.mapToObj((index) -> "X-" + index + ": 1\r\n")
			.collect(Collectors.joining());
		return List.of(field("no white space after the colon", "X-A:b", OK),
				field("white space around the value", "X-A: \t b \t", OK), field("empty value", "X-A:", OK),
				field("colons in the value", "X-A: :b:", OK), field("obs-text in the value", "X-A: caf\u00e9", OK),
				field("tab in the value", "X-A: a\tb", OK),
				field("name of all token characters", "!#$%&'*+-.^_`|~09azAZ: b", OK),
				field("many fields", many.substring(0, many.length() - 2), OK),
				field("name in another case", "cONTENT-tYPE: text/event-stream", OK),
				field("line without a colon", "spoilt", INVALID),
				field("length without a colon", "Content-Length 15", INVALID), field("empty name", ": b", INVALID),
				field("blank in the name", "X A: b", INVALID), field("blank after the name", "X-A : b", INVALID),
				field("tab after the name", "X-A\t: b", INVALID), field("NUL in the name", "X-\u0000A: b", INVALID),
				field("control byte in the name", "X-\u0007A: b", INVALID),
				field("DEL in the name", "X-\u007fA: b", INVALID),
				field("obs-text in the name", "X-\u00e9: b", INVALID),
				field("separator in the name", "X(A): b", INVALID), field("NUL in the value", "X-A: a\u0000b", INVALID),
				field("control byte in the value", "X-A: a\u0001b", INVALID),
				field("DEL in the value", "X-A: a\u007fb", INVALID),
				field("bare CR in the value", "X-A: a\rb", INVALID), field("folded line", "X-A: a\r\n b", INVALID),
				WireForms.get("white space before the first field",
						"HTTP/1.1 200 OK\r\n X-A: b\r\n" + FIELDS + LENGTH + "\r\n" + BODY, INVALID));
	}

	private static WireReply statusLine(String name, String line, String outcome) {
		return WireForms.get("status line: " + name, line + "\r\n" + FIELDS + LENGTH + "\r\n" + BODY, outcome);
	}

	private static WireReply field(String name, String line, String outcome) {
		return WireForms.get("field: " + name, "HTTP/1.1 200 OK\r\n" + FIELDS + line + "\r\n" + LENGTH + "\r\n" + BODY,
				outcome);
	}

	private static WireReply noBody(String name, String status, String fields, String outcome) {
		return WireForms.get(name, WireForms.head(status, fields), outcome);
	}

}
