package org.rattanhead.client.internal;

import java.util.List;
import java.util.Set;

import org.rattanhead.core.HttpField;

/**
 * How the body of a reply ends, and whether its connection may be used again.
 *
 * @param end what determines the end of the body
 * @param lengthBytes the length of the body if that determines its end, otherwise 0
 * @param persistent whether the server keeps the connection open
 */
record ReplyFraming(BodyEnd end, long lengthBytes, boolean persistent) {

	private static final String CONTENT_LENGTH = "Content-Length";

	private static final String TRANSFER_ENCODING = "Transfer-Encoding";

	private static final String CONNECTION = "Connection";

	private static final String CHUNKED = "chunked";

	private static final int NO_CONTENT = 204;

	private static final int RESET_CONTENT = 205;

	private static final int NOT_MODIFIED = 304;

	private static final Set<Integer> SUCCESS_WITHOUT_CONTENT = Set.of(NO_CONTENT, RESET_CONTENT);

	/**
	 * Finds the framing of a reply. Where RFC 9112, section 6.3, leaves the choice, a
	 * contradiction makes the reply malformed.
	 * @param method the method of the request
	 * @param statusLine the status line
	 * @param fields the header fields
	 * @return the framing
	 * @throws MalformedReplyException if the head contradicts itself or names an invalid
	 * length or an unknown coding
	 */
	static ReplyFraming of(String method, StatusLine statusLine, List<HttpField> fields)
			throws MalformedReplyException {
		boolean chunked = chunked(statusLine, fields);
		boolean measured = HttpText.isPresent(fields, CONTENT_LENGTH);
		long lengthBytes = measured ? ContentLength.parse(HttpText.elements(fields, CONTENT_LENGTH)) : 0;
		if (chunked && measured) {
			throw new MalformedReplyException("the server sent a reply with both a length and chunks");
		}
		if (method.equals("CONNECT") && statusLine.success()) {
			throw new MalformedReplyException("the server opened a tunnel, which no caller of this client can use");
		}
		boolean persistent = persistent(statusLine, fields);
		int status = statusLine.status();
		if (statusLine.interim() || SUCCESS_WITHOUT_CONTENT.contains(status)) {
			requireNoContent(status, chunked && status != RESET_CONTENT, lengthBytes);
		}
		if (statusLine.interim() || status == NO_CONTENT || status == NOT_MODIFIED || method.equals("HEAD")) {
			return new ReplyFraming(BodyEnd.LENGTH, 0, persistent);
		}
		if (chunked) {
			return new ReplyFraming(BodyEnd.LAST_CHUNK, 0, persistent);
		}
		return measured ? new ReplyFraming(BodyEnd.LENGTH, lengthBytes, persistent)
				: new ReplyFraming(BodyEnd.CONNECTION, 0, false);
	}

	private static boolean chunked(StatusLine statusLine, List<HttpField> fields) throws MalformedReplyException {
		if (!HttpText.isPresent(fields, TRANSFER_ENCODING)) {
			return false;
		}
		// No request offers a coding, so that only chunks are allowed.
		if (statusLine.minorVersion() == 0 || !HttpText.elements(fields, TRANSFER_ENCODING).equals(List.of(CHUNKED))) {
			throw new MalformedReplyException("the server sent a reply in a transfer coding that was not requested");
		}
		return true;
	}

	private static void requireNoContent(int status, boolean chunked, long lengthBytes) throws MalformedReplyException {
		if (chunked || lengthBytes > 0) {
			throw new MalformedReplyException("the server announced a body with status " + status);
		}
	}

	private static boolean persistent(StatusLine statusLine, List<HttpField> fields) {
		List<String> options = HttpText.elements(fields, CONNECTION);
		return !options.contains("close") && (statusLine.minorVersion() > 0 || options.contains("keep-alive"));
	}

}
