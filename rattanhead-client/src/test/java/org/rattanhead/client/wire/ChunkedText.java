package org.rattanhead.client.wire;

/**
 * Decodes bodies in chunks without extensions or trailers, for tests that read replies as
 * text.
 */
public final class ChunkedText {

	private static final String LAST_CHUNK = "0\r\n\r\n";

	private static final int HEXADECIMAL = 16;

	private ChunkedText() {
	}

	/**
	 * Decodes a body.
	 * @param chunks the chunks, of one character for each byte
	 * @return the content
	 * @throws RuntimeException if the chunks are malformed or do not end with the last
	 * one
	 */
	public static String decode(String chunks) {
		StringBuilder content = new StringBuilder();
		String rest = chunks;
		while (!rest.equals(LAST_CHUNK)) {
			int start = rest.indexOf("\r\n") + 2;
			int end = start + Integer.parseInt(rest.substring(0, start - 2), HEXADECIMAL);
			content.append(rest, start, end);
			rest = rest.substring(end + 2);
		}
		return content.toString();
	}

}
