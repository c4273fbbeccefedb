package org.rattanhead.client.internal;

import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Parses the value of Content-Length: RFC 9110, section 8.6. A list of equal lengths is
 * one length, as RFC 9112, section 6.3, demands.
 */
final class ContentLength {

	private static final Pattern PATTERN = Pattern.compile("0*([0-9]{0,18})");

	private ContentLength() {
	}

	/**
	 * Parses the elements of all fields of that name.
	 * @param elements the elements, none of them empty
	 * @return the length, in bytes
	 * @throws MalformedReplyException if there is no element, one is no number of up to
	 * 18 digits, or they differ
	 */
	static long parse(List<String> elements) throws MalformedReplyException {
		long lengthBytes = -1;
		for (String element : elements) {
			Matcher matcher = PATTERN.matcher(element);
			if (!matcher.matches()) {
				throw new MalformedReplyException("the server sent an invalid Content-Length");
			}
			long parsedBytes = matcher.group(1).isEmpty() ? 0 : Long.parseLong(matcher.group(1));
			if (lengthBytes >= 0 && parsedBytes != lengthBytes) {
				throw new MalformedReplyException("the server sent different lengths of one reply");
			}
			lengthBytes = parsedBytes;
		}
		if (lengthBytes < 0) {
			throw new MalformedReplyException("the server sent an empty Content-Length");
		}
		return lengthBytes;
	}

}
