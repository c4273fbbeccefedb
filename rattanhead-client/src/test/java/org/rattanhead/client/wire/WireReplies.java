package org.rattanhead.client.wire;

import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/**
 * The replies of the tests, valid and invalid, by the part of the reply that differs. The
 * sections named are those of RFC 9112, unless a line names RFC 9110.
 */
public final class WireReplies {

	private static final String BODY = WireReply.BODY;

	private static final String FIELDS = WireReply.FIELDS;

	private static final String INVALID = WireReply.INVALID;

	/** A reply of the usual form. */
	public static final WireReply PLAIN = get("plain", head("200 OK", "Content-Length: 5\r\n") + "plain", "200 plain");

	private static final String OK = "200 " + BODY;

	private static final String LENGTH = "Content-Length: 15\r\n";

	private static final String CHUNKED = "Transfer-Encoding: chunked\r\n";

	private static final String CHUNKS = "f\r\n" + BODY + "\r\n0\r\n\r\n";

	private static final int MANY_FIELDS = 500;

	private WireReplies() {
	}

	/**
	 * Lists all replies.
	 * @return the replies
	 */
	public static Stream<WireReply> all() {
		return Stream
			.of(statusLines(), statuses(), interim(), fieldLines(), lengths(), codings(), chunks(), unfinished(),
					ends())
			.flatMap(List::stream);
	}

	/**
	 * Lists replies to CONNECT: RFC 9110, section 9.3.6.
	 * @return the replies
	 */
	public static Stream<WireReply> tunnels() {
		return Stream.of(
				new WireReply("CONNECT accepted", "CONNECT", head("200 OK", LENGTH) + BODY, WireEnd.KEEPS, INVALID),
				new WireReply("CONNECT rejected", "CONNECT", head("405 No", LENGTH) + BODY, WireEnd.KEEPS,
						"405 " + BODY));
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
				statusLine("header field before the status line", "A: b\r\nHTTP/1.1 200 OK", INVALID),
				get("lines that end with LF", "HTTP/1.1 200 OK\n" + FIELDS + "Content-Length: 15\n\n" + BODY, OK));
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
				get("204 with a body", head("204 No Content", LENGTH) + BODY, INVALID),
				get("204 with chunks", head("204 No Content", CHUNKED) + CHUNKS, INVALID),
				noBody("205 with length 0", "205 Reset Content", "Content-Length: 0\r\n", "205 "),
				get("205 with a body", head("205 Reset Content", LENGTH) + BODY, INVALID),
				get("205 with a body in chunks", head("205 Reset Content", CHUNKED) + CHUNKS, INVALID),
				noBody("304 with the length of the representation", "304 Not Modified", LENGTH, "304 "),
				noBody("304 with a coding", "304 Not Modified", CHUNKED, "304 "),
				noBody("304 with a spoilt length", "304 Not Modified", "Content-Length: 1x\r\n", INVALID),
				new WireReply("HEAD with the length of the representation", "HEAD", head("200 OK", LENGTH),
						WireEnd.KEEPS, "200 "),
				new WireReply("HEAD with a coding", "HEAD", head("200 OK", CHUNKED), WireEnd.KEEPS, "200 "),
				new WireReply("HEAD without a length", "HEAD", head("200 OK", ""), WireEnd.KEEPS, "200 "),
				new WireReply("HEAD with a spoilt length", "HEAD", head("200 OK", "Content-Length: -1\r\n"),
						WireEnd.KEEPS, INVALID));
	}

	/** RFC 9110, section 15.2. */
	private static List<WireReply> interim() {
		String last = head("200 OK", LENGTH) + BODY;
		return List.of(get("100 before the reply", "HTTP/1.1 100 Continue\r\n\r\n" + last, OK),
				get("several interim replies",
						"HTTP/1.1 102 \r\n\r\nHTTP/1.1 103 Hints\r\nLink: x\r\n\r\nHTTP/1.1 199 x\r\n\r\n" + last, OK),
				get("interim reply, then chunks", "HTTP/1.1 103 Hints\r\n\r\n" + head("200 OK", CHUNKED) + CHUNKS, OK),
				get("interim reply, then no body", "HTTP/1.1 100 Continue\r\n\r\n" + head("204 No Content", ""),
						"204 "),
				get("101 without an upgrade",
						"HTTP/1.1 101 Switching\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n" + last, INVALID),
				get("interim reply with a body", "HTTP/1.1 100 Continue\r\nContent-Length: 4\r\n\r\nbody" + last,
						INVALID),
				get("interim reply with a line that is no field", "HTTP/1.1 100 Continue\r\nspoilt\r\n\r\n" + last,
						INVALID),
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
				get("white space before the first field",
						"HTTP/1.1 200 OK\r\n X-A: b\r\n" + FIELDS + LENGTH + "\r\n" + BODY, INVALID));
	}

	/** Section 6.3, and RFC 9110, section 8.6. */
	private static List<WireReply> lengths() {
		return List.of(length("leading zeros", "Content-Length: 0000000000000000000000015", OK),
				length("list of the same length", "Content-Length: 15, 15", OK),
				length("list with empty elements", "Content-Length: ,15 ,\t,015,", OK),
				length("lines of the same length", "Content-Length: 15\r\ncontent-length:15", OK),
				length("white space around", "Content-Length: \t15\t ", OK),
				length("list of different lengths", "Content-Length: 15, 16", INVALID),
				length("lines of different lengths", "Content-Length: 15\r\nContent-Length: 5", INVALID),
				length("letters", "Content-Length: abc", INVALID),
				length("digits and a letter", "Content-Length: 15x", INVALID),
				length("plus sign", "Content-Length: +15", INVALID),
				length("minus sign", "Content-Length: -15", INVALID),
				length("blank inside", "Content-Length: 1 5", INVALID),
				length("hexadecimal", "Content-Length: 0xf", INVALID),
				length("decimal point", "Content-Length: 15.0", INVALID),
				length("semicolon", "Content-Length: 15;15", INVALID), length("empty", "Content-Length:", INVALID),
				length("commas only", "Content-Length: ,", INVALID),
				length("other digits", "Content-Length: \u00b9\u00b5", INVALID),
				length("beyond 64 bits", "Content-Length: 18446744073709551631", INVALID),
				length("length and chunks", "Content-Length: 15\r\nTransfer-Encoding: chunked", INVALID),
				length("blank before the colon", "Content-Length : 15", INVALID),
				length("blank in the name", "Content Length: 15", INVALID),
				length("control byte in the name", "Content-\u0001Length: 15", INVALID),
				length("0 with bytes after it", "Content-Length: 0", "200 "),
				new WireReply("length: longer than the body", "GET", head("200 OK", "Content-Length: 16\r\n") + BODY,
						WireEnd.CLOSES, INVALID));
	}

	/** Sections 6.1 and 7. */
	private static List<WireReply> codings() {
		return List.of(coding("in capitals", "Transfer-Encoding: CHUNKED", OK),
				coding("white space around", "Transfer-Encoding:\t chunked \t", OK),
				coding("empty list elements", "Transfer-Encoding: , chunked ,", OK),
				coding("twice", "Transfer-Encoding: chunked, chunked", INVALID),
				coding("on two lines", "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked", INVALID),
				coding("not requested", "Transfer-Encoding: gzip, chunked", INVALID),
				coding("not final", "Transfer-Encoding: chunked, gzip", INVALID),
				coding("identity", "Transfer-Encoding: identity", INVALID),
				coding("unknown", "Transfer-Encoding: chunke", INVALID),
				coding("prefixed", "Transfer-Encoding: xchunked", INVALID),
				coding("with a parameter", "Transfer-Encoding: chunked;a=b", INVALID),
				coding("empty", "Transfer-Encoding:", INVALID),
				coding("quoted", "Transfer-Encoding: \"chunked\"", INVALID),
				coding("control byte", "Transfer-Encoding: \u000bchunked", INVALID),
				get("coding: of HTTP/1.0", "HTTP/1.0 200 OK\r\n" + FIELDS + CHUNKED + "\r\n" + CHUNKS, INVALID));
	}

	/** Section 7.1. */
	private static List<WireReply> chunks() {
		return List.of(chunks("in capitals", "F\r\n" + BODY + "\r\n0\r\n\r\n", OK),
				chunks("leading zeros", "00000000000000000000f\r\n" + BODY + "\r\n0000\r\n\r\n", OK),
				chunks("two", "1\r\ni\r\ne\r\n" + BODY.substring(1) + "\r\n0\r\n\r\n", OK),
				chunks("extensions", "f;a;b=c ; d = \"e;f\\\"\"\r\n" + BODY + "\r\n0;g\r\n\r\n", OK),
				chunks("long extension", "f;a=\"" + "\\x".repeat(480) + "\"\r\n" + BODY + "\r\n0\r\n\r\n", OK),
				chunks("trailer", "f\r\n" + BODY + "\r\n0\r\nX-A: b\r\nX-B:\r\n\r\n", OK),
				chunks("no size", "\r\n" + BODY + "\r\n0\r\n\r\n", INVALID),
				chunks("size that is no number", "g\r\n" + BODY + "\r\n0\r\n\r\n", INVALID),
				chunks("size with a sign", "+f\r\n" + BODY + "\r\n0\r\n\r\n", INVALID),
				chunks("negative size", "-f\r\n" + BODY + "\r\n0\r\n\r\n", INVALID),
				chunks("size with a prefix", "0xf\r\n" + BODY + "\r\n0\r\n\r\n", INVALID),
				chunks("blank before the size", " f\r\n" + BODY + "\r\n0\r\n\r\n", INVALID),
				chunks("blank inside the size", "0 f\r\n" + BODY + "\r\n0\r\n\r\n", INVALID),
				chunks("size beyond 64 bits", "1000000000000000f\r\n" + BODY + "\r\n0\r\n\r\n", INVALID),
				chunks("size line that ends with LF", "f\n" + BODY + "\r\n0\r\n\r\n", INVALID),
				chunks("extension without a name", "f;=a\r\n" + BODY + "\r\n0\r\n\r\n", INVALID),
				chunks("control byte in an extension", "f;a=\u0001\r\n" + BODY + "\r\n0\r\n\r\n", INVALID),
				chunks("longer than its size", "e\r\n" + BODY + "\r\n0\r\n\r\n", INVALID),
				chunks("shorter than its size", "10\r\n" + BODY + "\r\n0\r\n\r\n", INVALID),
				chunks("no line end after the data", "f\r\n" + BODY + "0\r\n\r\n", INVALID),
				chunks("LF after the data", "f\r\n" + BODY + "\n0\r\n\r\n", INVALID),
				chunks("no last chunk", "f\r\n" + BODY + "\r\n", INVALID),
				chunks("no empty line at the end", "f\r\n" + BODY + "\r\n0\r\n", INVALID),
				chunks("trailer without a colon", "f\r\n" + BODY + "\r\n0\r\nspoilt\r\n\r\n", INVALID),
				chunks("blank in the name of a trailer", "f\r\n" + BODY + "\r\n0\r\nX A: b\r\n\r\n", INVALID),
				chunks("unfinished trailer", "f\r\n" + BODY + "\r\n0\r\nX-A: b\r\n", INVALID));
	}

	/** Bytes that are no reply, and of which no more follow. */
	private static List<WireReply> unfinished() {
		return List.of(get("unfinished: no status line", "nonsense", INVALID),
				get("unfinished: status 000", "HTTP/1.1 000", INVALID),
				get("unfinished: blank in the name of a field", "HTTP/1.1 200 OK\r\nX A", INVALID),
				get("unfinished: no chunk size", head("200 OK", CHUNKED) + "x", INVALID),
				get("unfinished: chunk longer than its size", head("200 OK", CHUNKED) + "e\r\n" + BODY, INVALID));
	}

	/** Sections 6.3, 8 and 9.3. */
	private static List<WireReply> ends() {
		String old = "HTTP/1.0 200 OK\r\n" + FIELDS;
		return List.of(new WireReply("end: with the connection", "GET", head("200 OK", "") + BODY, WireEnd.CLOSES, OK),
				new WireReply("end: with the connection, announced", "GET",
						head("200 OK", "Connection: close\r\n") + BODY, WireEnd.CLOSES, OK),
				new WireReply("end: with the connection, keep-alive announced", "GET",
						head("200 OK", "Connection: keep-alive\r\n") + BODY, WireEnd.CLOSES, OK),
				new WireReply("end: with the connection of HTTP/1.0", "GET", old + "\r\n" + BODY, WireEnd.CLOSES, OK),
				new WireReply("end: HTTP/1.0 with a length", "GET", old + LENGTH + "\r\n" + BODY, WireEnd.CLOSES, OK),
				new WireReply("end: HTTP/1.0 with a length, kept", "GET",
						old + "Connection: keep-alive\r\n" + LENGTH + "\r\n" + BODY, WireEnd.KEEPS, OK),
				new WireReply("end: with a reset", "GET", head("200 OK", "") + BODY, WireEnd.RESETS, INVALID),
				new WireReply("end: with a reset, announced", "GET", head("200 OK", "Connection: close\r\n") + BODY,
						WireEnd.RESETS, INVALID),
				new WireReply("end: bytes after the reply", "GET", head("200 OK", LENGTH) + BODY + "and more",
						WireEnd.KEEPS, OK),
				new WireReply("end: another reply after the reply", "GET",
						head("200 OK", LENGTH) + BODY + head("200 OK", LENGTH) + "other reply....", WireEnd.KEEPS, OK));
	}

	private static WireReply statusLine(String name, String line, String outcome) {
		return get("status line: " + name, line + "\r\n" + FIELDS + LENGTH + "\r\n" + BODY, outcome);
	}

	private static WireReply field(String name, String line, String outcome) {
		return get("field: " + name, "HTTP/1.1 200 OK\r\n" + FIELDS + line + "\r\n" + LENGTH + "\r\n" + BODY, outcome);
	}

	private static WireReply length(String name, String line, String outcome) {
		return new WireReply("length: " + name, "GET", head("200 OK", line + "\r\n") + BODY, endAfter(outcome),
				outcome);
	}

	private static WireReply coding(String name, String line, String outcome) {
		return new WireReply("coding: " + name, "GET", head("200 OK", line + "\r\n") + CHUNKS, endAfter(outcome),
				outcome);
	}

	private static WireReply chunks(String name, String body, String outcome) {
		return new WireReply("chunks: " + name, "GET", head("200 OK", CHUNKED) + body, endAfter(outcome), outcome);
	}

	private static WireReply noBody(String name, String status, String fields, String outcome) {
		return get(name, head(status, fields), outcome);
	}

	private static WireReply get(String name, String wire, String outcome) {
		return new WireReply(name, "GET", wire, WireEnd.KEEPS, outcome);
	}

	/**
	 * Returns the end at which a lenient reader would take an invalid reply for complete.
	 * @param outcome the outcome of the reply
	 * @return the end
	 */
	private static WireEnd endAfter(String outcome) {
		return outcome.equals(INVALID) ? WireEnd.CLOSES : WireEnd.KEEPS;
	}

	private static String head(String status, String fields) {
		return "HTTP/1.1 " + status + "\r\n" + FIELDS + fields + "\r\n";
	}

}
