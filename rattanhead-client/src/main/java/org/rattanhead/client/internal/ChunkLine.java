package org.rattanhead.client.internal;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Parses the line before the data of a chunk: RFC 9112, section 7.1. Extensions are
 * checked and dropped.
 */
final class ChunkLine {

	private static final String QUOTED = "\"(?:[^\"\\\\]|\\\\.)*+\"";

	static final Pattern SYNTAX = Pattern.compile("0*+([0-9A-Fa-f]{0,15})(?<=[0-9A-Fa-f])(?:[ \t]*;[ \t]*"
			+ HttpText.TOKEN + "(?:[ \t]*=[ \t]*(?:" + HttpText.TOKEN + "|" + QUOTED + "))?+)*+");

	private static final int HEXADECIMAL = 16;

	/** Section 7.1.1 advises recipients to limit extensions. */
	private static final int MAX_LENGTH = 1_024;

	private ChunkLine() {
	}

	/**
	 * Parses a line.
	 * @param line the line without its end
	 * @return the number of bytes of data, 0 for the last chunk
	 * @throws MalformedReplyException if the line is invalid or longer than 1,024
	 * characters, or the size has more than 15 digits
	 */
	static long sizeBytes(String line) throws MalformedReplyException {
		if (line.length() > MAX_LENGTH) {
			throw new MalformedReplyException("the server sent a chunk extension that is too long");
		}
		Matcher matcher = SYNTAX.matcher(line);
		if (!matcher.matches() || !HttpText.isPrintable(line)) {
			throw new MalformedReplyException("the server sent a line that is no chunk size");
		}
		return matcher.group(1).isEmpty() ? 0 : Long.parseLong(matcher.group(1), HEXADECIMAL);
	}

}
