package org.rattanhead.client.wire;

/**
 * The parts that replies of the tests share.
 */
final class WireForms {

	/** The outcome of a usual reply. */
	static final String OK = "200 " + WireReply.BODY;

	/** The length of the body. */
	static final String LENGTH = "Content-Length: 15\r\n";

	/** Announces chunks. */
	static final String CHUNKED = "Transfer-Encoding: chunked\r\n";

	/** The body in one chunk. */
	static final String CHUNKS = "f\r\n" + WireReply.BODY + "\r\n0\r\n\r\n";

	private WireForms() {
	}

	static WireReply get(String name, String wire, String outcome) {
		return new WireReply(name, "GET", wire, WireEnd.KEEPS, outcome);
	}

	/**
	 * Returns the end at which a lenient reader would take an invalid reply for complete.
	 * @param outcome the outcome of the reply
	 * @return the end
	 */
	static WireEnd endAfter(String outcome) {
		return outcome.equals(WireReply.INVALID) ? WireEnd.CLOSES : WireEnd.KEEPS;
	}

	static String head(String status, String fields) {
		return "HTTP/1.1 " + status + "\r\n" + WireReply.FIELDS + fields + "\r\n";
	}

}
