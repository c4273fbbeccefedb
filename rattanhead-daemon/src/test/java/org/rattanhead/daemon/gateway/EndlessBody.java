package org.rattanhead.daemon.gateway;

import java.nio.charset.StandardCharsets;

/**
 * A body that has no end, as an instance sends it.
 */
enum EndlessBody {

	/** Chunks of one byte. */
	TINY_CHUNKS("Transfer-Encoding: chunked\r\n", "1\r\nx\r\n", 2_000),

	/** Chunks that fill a buffer. */
	LARGE_CHUNKS("Transfer-Encoding: chunked\r\n", "4000\r\n" + "x".repeat(16_384) + "\r\n", 4),

	/** A stream of the shortest events. */
	TINY_EVENTS("Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n", "7\r\ndata:\n\n\r\n", 2_000),

	/** Neither a length nor chunks. */
	NO_FRAMING("", "x", 16_384),

	/** One event that is complete at no point; its instance goes silent. */
	UNFINISHED_EVENT("Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n",
			"4000\r\n" + "x".repeat(16_384) + "\r\n", 15),

	/** A part of a body with a length; its instance goes silent. */
	UNFINISHED_LENGTH("Content-Length: 999999999\r\n", "x".repeat(16_000), 15);

	private final String fields;

	private final String repeated;

	private final int count;

	EndlessBody(String fields, String repeated, int count) {
		this.fields = fields;
		this.repeated = repeated;
		this.count = count;
	}

	String fields() {
		return this.fields;
	}

	/**
	 * Returns whether the block is sent once, followed by nothing.
	 * @return false if it is repeated
	 */
	boolean silent() {
		return this == UNFINISHED_EVENT || this == UNFINISHED_LENGTH;
	}

	byte[] block() {
		return this.repeated.repeat(this.count).getBytes(StandardCharsets.US_ASCII);
	}

}
