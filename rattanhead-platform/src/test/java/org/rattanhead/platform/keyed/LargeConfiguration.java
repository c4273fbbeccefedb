package org.rattanhead.platform.keyed;

import java.nio.charset.StandardCharsets;
import java.util.Random;

import org.rattanhead.core.Payload;

/**
 * The text of a configuration with many routes. Successive versions differ in their
 * number and in one route.
 */
final class LargeConfiguration {

	private static final int SEED = 7;

	private static final int NAME_RADIX = 36;

	private LargeConfiguration() {
	}

	/**
	 * Creates the text of a configuration, about 190 bytes for each route.
	 * @param version the version, on the first line
	 * @param routes the number of routes
	 * @return the text
	 */
	static String text(int version, int routes) {
		Random random = new Random(SEED);
		StringBuilder text = new StringBuilder(firstLine(version)).append('\n');
		for (int index = 0; index < routes; index++) {
			route(text, Long.toString(random.nextInt(Integer.MAX_VALUE), NAME_RADIX));
		}
		route(text, "of-version-" + version);
		return text.toString();
	}

	static String firstLine(int version) {
		return "version-" + version;
	}

	/**
	 * Returns the first line of a value.
	 * @param value the value
	 * @return the line
	 */
	static String firstLine(Payload value) {
		byte[] bytes = value.bytes();
		int length = 0;
		while (length < bytes.length && bytes[length] != '\n') {
			length++;
		}
		return new String(bytes, 0, length, StandardCharsets.UTF_8);
	}

	private static void route(StringBuilder text, String name) {
		text.append("{\"Name\":\"r-")
			.append(name)
			.append("\",\"Host\":\"host.example\",\"PathPrefix\":\"/")
			.append(name)
			.append("/\",\"Kind\":\"streaming\",\"TimeoutMs\":10000,\"TargetLatencyMs\":1520,\"Priority\":1,")
			.append("\"Service\":\"service\",\"MaxAttempts\":2,\"Public\":false,\"Sticky\":true}\n");
	}

}
