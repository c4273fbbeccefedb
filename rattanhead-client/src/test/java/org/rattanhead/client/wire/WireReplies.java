package org.rattanhead.client.wire;

import java.util.stream.Stream;

/**
 * The replies of the tests, valid and invalid.
 */
public final class WireReplies {

	/** A reply of the usual form. */
	public static final WireReply PLAIN = WireForms.get("plain",
			WireForms.head("200 OK", "Content-Length: 5\r\n") + "plain", "200 plain");

	private WireReplies() {
	}

	/**
	 * Lists the replies to GET and HEAD.
	 * @return the replies
	 */
	public static Stream<WireReply> all() {
		return Stream.concat(WireHeads.all(), WireBodies.all());
	}

	/**
	 * Lists replies to CONNECT: RFC 9110, section 9.3.6.
	 * @return the replies
	 */
	public static Stream<WireReply> tunnels() {
		String fields = WireForms.LENGTH;
		return Stream.of(
				new WireReply("CONNECT accepted", "CONNECT", WireForms.head("200 OK", fields) + WireReply.BODY,
						WireEnd.KEEPS, WireReply.INVALID),
				new WireReply("CONNECT rejected", "CONNECT", WireForms.head("405 No", fields) + WireReply.BODY,
						WireEnd.KEEPS, "405 " + WireReply.BODY));
	}

}
