package org.rattanhead.core.request;

import java.util.Optional;

/**
 * Identifies one attempt to answer a request.
 *
 * @param request the request
 * @param number the number of the attempt, from 1
 */
public record AttemptId(RequestId request, int number) {

	private static final char SEPARATOR = '.';

	/**
	 * Parses the text form.
	 * @param text request id, a full stop and the number
	 * @return the attempt, empty if the text is not of that form
	 */
	public static Optional<AttemptId> parse(String text) {
		int split = text.lastIndexOf(SEPARATOR);
		if (split <= 0) {
			return Optional.empty();
		}
		try {
			int number = Integer.parseInt(text.substring(split + 1));
			return Optional.of(new AttemptId(new RequestId(text.substring(0, split)), number));
		}
		catch (NumberFormatException ex) {
			return Optional.empty();
		}
	}

	@Override
	public String toString() {
		return this.request.value() + SEPARATOR + this.number;
	}

}
