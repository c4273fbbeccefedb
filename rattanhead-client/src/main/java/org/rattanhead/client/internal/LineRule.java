package org.rattanhead.client.internal;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * What the next line of a reply must look like.
 *
 * @param syntax matches the line without its end
 * @param lineFeedSuffices whether the line may end with LF alone, as RFC 9112, section
 * 2.2, allows for status lines and fields
 * @param handler handles the line
 */
record LineRule(Pattern syntax, boolean lineFeedSuffices, LineHandler handler) {

	private static final String RETURN = "\r";

	/**
	 * Handles a line.
	 * @param line the line without its line feed
	 * @throws MalformedReplyException if the line is not allowed in its place
	 */
	void accept(String line) throws MalformedReplyException {
		if (!this.lineFeedSuffices && !line.endsWith(RETURN)) {
			throw new MalformedReplyException("the server sent a line of a chunk that does not end with CR LF");
		}
		this.handler.accept(withoutReturn(line));
	}

	/**
	 * Rejects bytes that cannot become an allowed line, before the line is complete. The
	 * server may never complete it.
	 * @param start the start of the line
	 * @throws MalformedReplyException if no allowed line starts like this
	 */
	void requireStart(String start) throws MalformedReplyException {
		Matcher matcher = this.syntax.matcher(withoutReturn(start));
		if (!matcher.matches() && !matcher.hitEnd()) {
			throw new MalformedReplyException("the server sent bytes that are not allowed in their place in a reply");
		}
	}

	private static String withoutReturn(String line) {
		return line.endsWith(RETURN) ? line.substring(0, line.length() - 1) : line;
	}

}
