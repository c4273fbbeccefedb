package org.rattanhead.client.wire;

import java.util.List;
import java.util.stream.Stream;

/**
 * Replies whose bodies, or the framing of them, differ. The sections named are those of
 * RFC 9112, unless a line names RFC 9110.
 */
final class WireBodies {

	private static final String BODY = WireReply.BODY;

	private static final String FIELDS = WireReply.FIELDS;

	private static final String INVALID = WireReply.INVALID;

	private static final String OK = WireForms.OK;

	private static final String LENGTH = WireForms.LENGTH;

	private static final String CHUNKED = WireForms.CHUNKED;

	private static final String CHUNKS = WireForms.CHUNKS;

	private WireBodies() {
	}

	static Stream<WireReply> all() {
		return Stream.of(lengths(), codings(), chunks(), unfinished(), ends()).flatMap(List::stream);
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
				new WireReply("length: longer than the body", "GET",
						WireForms.head("200 OK", "Content-Length: 16\r\n") + BODY, WireEnd.CLOSES, INVALID));
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
				coding("control byte", "Transfer-Encoding: \u000bchunked", INVALID), WireForms
					.get("coding: of HTTP/1.0", "HTTP/1.0 200 OK\r\n" + FIELDS + CHUNKED + "\r\n" + CHUNKS, INVALID));
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
		return List.of(WireForms.get("unfinished: no status line", "nonsense", INVALID),
				WireForms.get("unfinished: status 000", "HTTP/1.1 000", INVALID),
				WireForms.get("unfinished: blank in the name of a field", "HTTP/1.1 200 OK\r\nX A", INVALID),
				WireForms.get("unfinished: no chunk size", WireForms.head("200 OK", CHUNKED) + "x", INVALID),
				WireForms.get("unfinished: chunk longer than its size",
						WireForms.head("200 OK", CHUNKED) + "e\r\n" + BODY, INVALID));
	}

	/** Sections 6.3, 8 and 9.3. */
	private static List<WireReply> ends() {
		String old = "HTTP/1.0 200 OK\r\n" + FIELDS;
		return List.of(
				new WireReply("end: with the connection", "GET", WireForms.head("200 OK", "") + BODY, WireEnd.CLOSES,
						OK),
				new WireReply("end: with the connection, announced", "GET",
						WireForms.head("200 OK", "Connection: close\r\n") + BODY, WireEnd.CLOSES, OK),
				new WireReply("end: with the connection, keep-alive announced", "GET",
						WireForms.head("200 OK", "Connection: keep-alive\r\n") + BODY, WireEnd.CLOSES, OK),
				new WireReply("end: with the connection of HTTP/1.0", "GET", old + "\r\n" + BODY, WireEnd.CLOSES, OK),
				new WireReply("end: HTTP/1.0 with a length", "GET", old + LENGTH + "\r\n" + BODY, WireEnd.CLOSES, OK),
				new WireReply("end: HTTP/1.0 with a length, kept", "GET",
						old + "Connection: keep-alive\r\n" + LENGTH + "\r\n" + BODY, WireEnd.KEEPS, OK),
				new WireReply("end: with a reset", "GET", WireForms.head("200 OK", "") + BODY, WireEnd.RESETS, INVALID),
				new WireReply("end: with a reset, announced", "GET",
						WireForms.head("200 OK", "Connection: close\r\n") + BODY, WireEnd.RESETS, INVALID),
				new WireReply("end: bytes after the reply", "GET", WireForms.head("200 OK", LENGTH) + BODY + "and more",
						WireEnd.KEEPS, OK),
				new WireReply("end: another reply after the reply", "GET",
						WireForms.head("200 OK", LENGTH) + BODY + WireForms.head("200 OK", LENGTH) + "other reply....",
						WireEnd.KEEPS, OK));
	}

	private static WireReply length(String name, String line, String outcome) {
		return new WireReply("length: " + name, "GET", WireForms.head("200 OK", line + "\r\n") + BODY,
				WireForms.endAfter(outcome), outcome);
	}

	private static WireReply coding(String name, String line, String outcome) {
		return new WireReply("coding: " + name, "GET", WireForms.head("200 OK", line + "\r\n") + CHUNKS,
				WireForms.endAfter(outcome), outcome);
	}

	private static WireReply chunks(String name, String body, String outcome) {
		return new WireReply("chunks: " + name, "GET", WireForms.head("200 OK", CHUNKED) + body,
				WireForms.endAfter(outcome), outcome);
	}

}
