package org.rattanhead.settings;

import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

import org.rattanhead.core.host.HostAddress;

/**
 * Reads the values of one section and reports every fault to a consumer instead of
 * stopping at the first.
 */
public final class SectionReader {

	private static final Pattern DURATION = Pattern.compile("(\\d{1,12})(ms|s|m|h)");

	private static final Map<String, Long> UNIT_MILLIS = Map.of("ms", 1L, "s", 1_000L, "m", 60_000L, "h", 3_600_000L);

	private final String file;

	private final IniSection section;

	private final Consumer<SettingFault> faults;

	private final Set<String> readKeys = new HashSet<>();

	/**
	 * Creates a reader of one section.
	 * @param file the name of the file
	 * @param section the section
	 * @param faults receives each fault
	 */
	public SectionReader(String file, IniSection section, Consumer<SettingFault> faults) {
		this.file = file;
		this.section = section;
		this.faults = faults;
	}

	/**
	 * Reads a required string.
	 * @param key the key
	 * @return the value, or an empty string if it is missing or blank
	 */
	public String text(String key) {
		String value = rawValue(key);
		if (value == null || value.isBlank()) {
			report(key, "it is missing", "add '" + key + " = ...' to the section");
			return "";
		}
		return value;
	}

	/**
	 * Reads an optional string.
	 * @param key the key
	 * @param defaultValue the value if the key is absent
	 * @return the value
	 */
	public String text(String key, String defaultValue) {
		String value = rawValue(key);
		return (value != null) ? value : defaultValue;
	}

	/**
	 * Reads a required integer.
	 * @param key the key
	 * @param min the smallest value allowed
	 * @param max the largest value allowed
	 * @return the value, or {@code min} if it is missing or faulty
	 */
	public int integer(String key, int min, int max) {
		String value = text(key);
		return value.isEmpty() ? min : toInteger(key, value, min, max);
	}

	/**
	 * Reads an optional integer.
	 * @param key the key
	 * @param min the smallest value allowed
	 * @param max the largest value allowed
	 * @param defaultValue the value if the key is absent
	 * @return the value, or {@code min} if it is faulty
	 */
	public int integer(String key, int min, int max, int defaultValue) {
		String value = rawValue(key);
		return (value != null) ? toInteger(key, value, min, max) : defaultValue;
	}

	/**
	 * Reads a required decimal number.
	 * @param key the key
	 * @param min the smallest value allowed
	 * @param max the largest value allowed
	 * @return the value, or {@code min} if it is missing or faulty
	 */
	public double decimal(String key, double min, double max) {
		String value = text(key);
		return value.isEmpty() ? min : toDecimal(key, value, min, max);
	}

	/**
	 * Reads an optional decimal number.
	 * @param key the key
	 * @param min the smallest value allowed
	 * @param max the largest value allowed
	 * @param defaultValue the value if the key is absent
	 * @return the value, or {@code min} if it is faulty
	 */
	public double decimal(String key, double min, double max, double defaultValue) {
		String value = rawValue(key);
		return (value != null) ? toDecimal(key, value, min, max) : defaultValue;
	}

	private double toDecimal(String key, String value, double min, double max) {
		try {
			double number = Double.parseDouble(value);
			if (number >= min && number <= max) {
				return number;
			}
		}
		catch (NumberFormatException ex) {
			// Reported below together with numbers out of range.
		}
		report(key, "'" + value + "' is not a number from " + min + " to " + max,
				"write a number in that range, such as " + min);
		return min;
	}

	/**
	 * Reads a required duration.
	 * @param key the key
	 * @return the duration in milliseconds, or 1 if it is missing or faulty
	 */
	public long durationMillis(String key) {
		String value = text(key);
		return value.isEmpty() ? 1 : toMillis(key, value);
	}

	/**
	 * Reads an optional duration.
	 * @param key the key
	 * @param defaultMillis the value if the key is absent, in milliseconds
	 * @return the duration in milliseconds, or 1 if it is faulty
	 */
	public long durationMillis(String key, long defaultMillis) {
		String value = rawValue(key);
		return (value != null) ? toMillis(key, value) : defaultMillis;
	}

	/**
	 * Reads a required address.
	 * @param key the key
	 * @return the text of the address and port, also if it is faulty
	 */
	public String address(String key) {
		String value = text(key);
		if (!value.isEmpty() && !HostAddress.valid(value)) {
			report(key, "'" + value + "' is not an address", "write an IP address and a port, such as 127.0.0.1:8080");
		}
		return value;
	}

	/**
	 * Reads an optional boolean.
	 * @param key the key
	 * @param defaultValue the value if the key is absent
	 * @return the value, or false if it is faulty
	 */
	public boolean flag(String key, boolean defaultValue) {
		String value = rawValue(key);
		if (value == null) {
			return defaultValue;
		}
		if (!"true".equals(value) && !"false".equals(value)) {
			report(key, "'" + value + "' is neither true nor false", "write true or false");
		}
		return Boolean.parseBoolean(value);
	}

	/**
	 * Reads an optional list of words separated by commas.
	 * @param key the key
	 * @return the words, or an empty list if the key is absent
	 */
	public List<String> list(String key) {
		String value = rawValue(key);
		return (value != null)
				? Arrays.stream(value.split(",")).map(String::trim).filter((word) -> !word.isEmpty()).toList()
				: List.of();
	}

	/**
	 * Reads an optional enum value, written in lower case with hyphens.
	 * @param <T> the type of the enum
	 * @param key the key
	 * @param type the class of the enum
	 * @param defaultValue the value if the key is absent
	 * @return the value, or {@code defaultValue} if it is absent or faulty
	 */
	public <T extends Enum<T>> T enumValue(String key, Class<T> type, T defaultValue) {
		String value = rawValue(key);
		if (value == null) {
			return defaultValue;
		}
		for (T constant : type.getEnumConstants()) {
			if (settingText(constant).equals(value)) {
				return constant;
			}
		}
		report(key, "'" + value + "' is not an allowed value",
				"write one of " + Arrays.stream(type.getEnumConstants())
					.map(SectionReader::settingText)
					.collect(Collectors.joining(", ")));
		return defaultValue;
	}

	/**
	 * Reports every key of the section that no method of this reader has requested.
	 */
	public void reportUnknownKeys() {
		this.section.values()
			.keySet()
			.stream()
			.filter((key) -> !this.readKeys.contains(key))
			.forEach((key) -> report(key, "there is no such key",
					"remove it, or use one of " + this.readKeys.stream().sorted().collect(Collectors.joining(", "))));
	}

	private String rawValue(String key) {
		this.readKeys.add(key);
		return this.section.values().get(key);
	}

	private int toInteger(String key, String value, int min, int max) {
		try {
			int number = Integer.parseInt(value);
			if (number >= min && number <= max) {
				return number;
			}
		}
		catch (NumberFormatException ex) {
			// Reported below together with numbers out of range.
		}
		report(key, "'" + value + "' is not a whole number from " + min + " to " + max, "write one in that range");
		return min;
	}

	private long toMillis(String key, String value) {
		Matcher matcher = DURATION.matcher(value);
		if (!matcher.matches() || Long.parseLong(matcher.group(1)) == 0) {
			report(key, "'" + value + "' is not a duration", "write a number above 0 with a unit: ms, s, m or h");
			return 1;
		}
		return Long.parseLong(matcher.group(1)) * UNIT_MILLIS.get(matcher.group(2));
	}

	private static String settingText(Enum<?> constant) {
		return constant.name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

	private void report(String key, String fault, String remedy) {
		this.faults.accept(new SettingFault(this.file, this.section.name(), key, fault, remedy));
	}

}
