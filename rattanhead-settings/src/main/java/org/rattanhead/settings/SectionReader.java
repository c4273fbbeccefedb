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
	 * Starts reading a section.
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
	 * Reads text that must be present.
	 * @param key the key
	 * @return the value, empty text if absent
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
	 * Reads text that may be absent.
	 * @param key the key
	 * @param defaultValue the value if absent
	 * @return the value
	 */
	public String text(String key, String defaultValue) {
		String value = rawValue(key);
		return (value != null) ? value : defaultValue;
	}

	/**
	 * Reads a whole number that must be present.
	 * @param key the key
	 * @param min the least value
	 * @param max the greatest value
	 * @return the value, the least value if faulty
	 */
	public int integer(String key, int min, int max) {
		String value = text(key);
		return value.isEmpty() ? min : toInteger(key, value, min, max);
	}

	/**
	 * Reads a whole number that may be absent.
	 * @param key the key
	 * @param min the least value
	 * @param max the greatest value
	 * @param defaultValue the value if absent
	 * @return the value, the least value if faulty
	 */
	public int integer(String key, int min, int max, int defaultValue) {
		String value = rawValue(key);
		return (value != null) ? toInteger(key, value, min, max) : defaultValue;
	}

	/**
	 * Reads a number that may have a fraction.
	 * @param key the key
	 * @param min the smallest value allowed
	 * @param max the largest value allowed
	 * @return the value, {@code min} if it is faulty
	 */
	public double decimal(String key, double min, double max) {
		String value = text(key);
		if (value.isEmpty()) {
			return min;
		}
		try {
			double number = Double.parseDouble(value);
			if (number >= min && number <= max) {
				return number;
			}
		}
		catch (NumberFormatException ex) {
			// Reported below, like a number out of range.
		}
		report(key, "'" + value + "' is not a number from " + min + " to " + max,
				"write a number in that range, such as " + min);
		return min;
	}

	/**
	 * Reads a duration that must be present.
	 * @param key the key
	 * @return milliseconds, 1 if faulty
	 */
	public long durationMillis(String key) {
		String value = text(key);
		return value.isEmpty() ? 1 : toMillis(key, value);
	}

	/**
	 * Reads a duration that may be absent.
	 * @param key the key
	 * @param defaultMillis milliseconds if absent
	 * @return milliseconds, 1 if faulty
	 */
	public long durationMillis(String key, long defaultMillis) {
		String value = rawValue(key);
		return (value != null) ? toMillis(key, value) : defaultMillis;
	}

	/**
	 * Reads an address that must be present.
	 * @param key the key
	 * @return the address and port, as written
	 */
	public String address(String key) {
		String value = text(key);
		if (!value.isEmpty() && !HostAddress.valid(value)) {
			report(key, "'" + value + "' is not an address", "write an IP address and a port, such as 127.0.0.1:8080");
		}
		return value;
	}

	/**
	 * Reads true or false.
	 * @param key the key
	 * @param defaultValue the value if absent
	 * @return the value
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
	 * Reads a list of words separated by commas.
	 * @param key the key
	 * @return the words, empty if absent
	 */
	public List<String> list(String key) {
		String value = rawValue(key);
		return (value != null)
				? Arrays.stream(value.split(",")).map(String::trim).filter((word) -> !word.isEmpty()).toList()
				: List.of();
	}

	/**
	 * Reads one of the values of an enum, written in lower case with hyphens.
	 * @param <T> the enum
	 * @param key the key
	 * @param type the enum
	 * @param defaultValue the value if absent
	 * @return the value
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
		report(key, "'" + value + "' is not a choice",
				"write one of " + Arrays.stream(type.getEnumConstants())
					.map(SectionReader::settingText)
					.collect(Collectors.joining(", ")));
		return defaultValue;
	}

	/**
	 * Reports every key that was not read.
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
