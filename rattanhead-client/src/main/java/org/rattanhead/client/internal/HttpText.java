package org.rattanhead.client.internal;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;

import org.rattanhead.core.HttpField;

/**
 * The rules of RFC 9110, section 5, and RFC 9112, section 2, that lines of a reply share.
 * A line has one character for each byte.
 */
final class HttpText {

	/** Characters that a token may consist of. */
	static final String TOKEN = "[!#$%&'*+.^_`|~0-9A-Za-z-]+";

	private static final char DELETE = 0x7f;

	private HttpText() {
	}

	/**
	 * Returns whether a text has no control characters besides tabs.
	 * @param text the text
	 * @return true if it has none
	 */
	static boolean isPrintable(String text) {
		return text.chars().allMatch((character) -> (character >= ' ' && character != DELETE) || character == '\t');
	}

	/**
	 * Removes the white space around a value. Other control characters than tabs remain.
	 * @param text the text
	 * @return the value
	 */
	static String trim(String text) {
		int start = 0;
		int end = text.length();
		while (start < end && isWhiteSpace(text.charAt(start))) {
			start++;
		}
		while (end > start && isWhiteSpace(text.charAt(end - 1))) {
			end--;
		}
		return text.substring(start, end);
	}

	/**
	 * Lists the elements of a field that has a list of tokens as its value.
	 * @param fields all fields
	 * @param name the name of the field
	 * @return the elements of all its lines in lower case, without empty ones
	 */
	static List<String> elements(List<HttpField> fields, String name) {
		return fields.stream()
			.filter((field) -> field.name().equalsIgnoreCase(name))
			.flatMap((field) -> Arrays.stream(field.value().split(",")))
			.map((element) -> trim(element).toLowerCase(Locale.ROOT))
			.filter((element) -> !element.isEmpty())
			.toList();
	}

	/**
	 * Returns whether a field is present, also with an empty value.
	 * @param fields all fields
	 * @param name the name of the field
	 * @return true if it is
	 */
	static boolean isPresent(List<HttpField> fields, String name) {
		return fields.stream().anyMatch((field) -> field.name().equalsIgnoreCase(name));
	}

	private static boolean isWhiteSpace(char character) {
		return character == ' ' || character == '\t';
	}

}
