package org.rattanhead.client;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import org.rattanhead.core.Payload;

/**
 * Splits a stream of server-sent events into their data. Lines other than data are
 * ignored.
 */
public final class SseParser {

	/** The data of the event that ends a complete stream. */
	public static final String END = "[DONE]";

	private static final String DATA = "data: ";

	private final ByteArrayOutputStream line = new ByteArrayOutputStream();

	/**
	 * Reads a part of the stream.
	 * @param bytes the part
	 * @return the data of the events that it completes
	 */
	public List<String> feed(Payload bytes) {
		List<String> events = new ArrayList<>();
		for (byte character : bytes.bytes()) {
			if (character == '\n') {
				String text = this.line.toString(StandardCharsets.UTF_8);
				this.line.reset();
				if (text.startsWith(DATA)) {
					events.add(text.substring(DATA.length()));
				}
			}
			else {
				this.line.write(character);
			}
		}
		return events;
	}

}
