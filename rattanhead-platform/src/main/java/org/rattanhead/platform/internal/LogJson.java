package org.rattanhead.platform.internal;

import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;

import org.rattanhead.core.Payload;
import org.rattanhead.platform.LogPage;
import org.rattanhead.platform.LogRecord;

/**
 * Decodes answers of the log service.
 */
public final class LogJson {

	private LogJson() {
	}

	/**
	 * Decodes the answer to an append.
	 * @param payload the JSON text
	 * @return the offset
	 */
	public static long offset(Payload payload) {
		return Json.decode(payload, (node) -> node.required("offset").asLong());
	}

	/**
	 * Decodes the answer to a read.
	 * @param payload the JSON text
	 * @return the page
	 */
	public static LogPage page(Payload payload) {
		return Json.decode(payload, (node) -> new LogPage(node.required("firstOffset").asLong(),
				node.required("nextOffset").asLong(), records(node.required("records"))));
	}

	private static List<LogRecord> records(JsonNode array) {
		List<LogRecord> records = new ArrayList<>(array.size());
		for (JsonNode node : array) {
			records.add(new LogRecord(node.required("offset").asLong(),
					new Payload(java.util.Base64.getDecoder().decode(node.required("data").asText()))));
		}
		return records;
	}

}
