package org.rattanhead.client.internal;

import java.util.regex.Pattern;

import org.rattanhead.core.HttpField;

/**
 * Parses lines of header and trailer fields: RFC 9112, section 5. Folded lines are
 * rejected, as section 5.2 allows for a gateway.
 */
final class FieldLine {

	/** Also matches the empty line at the end of the fields. */
	static final Pattern SYNTAX = Pattern.compile("(?:" + HttpText.TOKEN + ":.*)?", Pattern.DOTALL);

	private FieldLine() {
	}

	static HttpField parse(String line) throws MalformedReplyException {
		if (!SYNTAX.matcher(line).matches() || !HttpText.isPrintable(line)) {
			throw new MalformedReplyException("the server sent a line that is no header field");
		}
		int colon = line.indexOf(':');
		return new HttpField(line.substring(0, colon), HttpText.trim(line.substring(colon + 1)));
	}

}
