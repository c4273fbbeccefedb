package org.rattanhead.settings;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A section of an INI file.
 *
 * @param name the name
 * @param values the values by key, in the order of the file
 */
public record IniSection(String name, Map<String, String> values) {

	/**
	 * Copies the values.
	 * @param name the name
	 * @param values the values by key
	 */
	public IniSection {
		values = Collections.unmodifiableMap(new LinkedHashMap<>(values));
	}

}
