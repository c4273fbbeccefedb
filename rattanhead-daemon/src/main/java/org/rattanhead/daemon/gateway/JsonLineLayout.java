package org.rattanhead.daemon.gateway;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.time.format.DateTimeFormatter;
import java.time.format.DateTimeFormatterBuilder;

import com.fasterxml.jackson.core.io.JsonStringEncoder;
import org.apache.logging.log4j.core.LogEvent;
import org.apache.logging.log4j.core.layout.AbstractStringLayout;

/**
 * Writes a log event as one JSON object on a line. The message is either escaped text or
 * fields that are already encoded.
 */
final class JsonLineLayout extends AbstractStringLayout {

	private static final DateTimeFormatter TIMESTAMP = new DateTimeFormatterBuilder().appendInstant(3).toFormatter();

	private final boolean encodedFields;

	private JsonLineLayout(boolean encodedFields) {
		super(StandardCharsets.UTF_8);
		this.encodedFields = encodedFields;
	}

	/**
	 * Creates a layout for messages that are text.
	 * @return the layout
	 */
	static JsonLineLayout text() {
		return new JsonLineLayout(false);
	}

	/**
	 * Creates a layout for messages that are the encoded fields of a JSON object.
	 * @return the layout
	 */
	static JsonLineLayout fields() {
		return new JsonLineLayout(true);
	}

	@Override
	public String toSerializable(LogEvent event) {
		StringBuilder line = getStringBuilder();
		line.append("{\"at\":\"");
		TIMESTAMP.formatTo(Instant.ofEpochMilli(event.getTimeMillis()), line);
		line.append("\",\"level\":\"").append(event.getLevel().name()).append("\",");
		String message = event.getMessage().getFormattedMessage();
		if (this.encodedFields) {
			line.append(message);
		}
		else {
			line.append("\"message\":\"");
			JsonStringEncoder.getInstance().quoteAsString(message, line);
			line.append("\",\"error\":\"");
			appendStackTrace(event.getThrown(), line);
			line.append('"');
		}
		return line.append("}\n").toString();
	}

	private static void appendStackTrace(Throwable thrown, StringBuilder line) {
		if (thrown != null) {
			StringWriter trace = new StringWriter();
			thrown.printStackTrace(new PrintWriter(trace, true));
			JsonStringEncoder.getInstance().quoteAsString(trace.toString(), line);
		}
	}

}
