package org.rattanhead.client.internal;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The first line of a reply: RFC 9112, section 4. The reason phrase is checked and
 * dropped.
 *
 * @param minorVersion the minor version of the protocol; the major version is 1
 * @param status the status code
 */
record StatusLine(int minorVersion, int status) {

	private static final int FIRST_SUCCESS = 200;

	private static final int FIRST_REDIRECTION = 300;

	/**
	 * The status codes are those of RFC 9110, section 15. The space after the status is
	 * optional, as section 4 allows recipients to treat it.
	 */
	static final Pattern SYNTAX = Pattern.compile("HTTP/1\\.([0-9]) ([1-5][0-9]{2})(?: (.*))?", Pattern.DOTALL);

	static StatusLine parse(String line) throws MalformedReplyException {
		Matcher matcher = SYNTAX.matcher(line);
		if (!matcher.matches() || !HttpText.isPrintable(line)) {
			throw new MalformedReplyException("the server sent a line that is no status line of HTTP/1");
		}
		return new StatusLine(Integer.parseInt(matcher.group(1)), Integer.parseInt(matcher.group(2)));
	}

	boolean interim() {
		return this.status < FIRST_SUCCESS;
	}

	boolean success() {
		return this.status >= FIRST_SUCCESS && this.status < FIRST_REDIRECTION;
	}

}
