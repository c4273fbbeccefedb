package org.rattanhead.client;

import java.util.List;

import org.rattanhead.core.HttpField;

/**
 * Status and header fields of a reply.
 *
 * @param status the status code
 * @param fields the header fields
 */
public record HttpHead(int status, List<HttpField> fields) {

	/**
	 * Finds a header field.
	 * @param name the name, in any case
	 * @return the first value, empty text if absent
	 */
	public String field(String name) {
		return this.fields.stream()
			.filter((field) -> field.name().equalsIgnoreCase(name))
			.map(HttpField::value)
			.findFirst()
			.orElse("");
	}

}
