package org.rattanhead.upstream.internal;

import java.io.IOException;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;

import org.rattanhead.core.Payload;
import org.rattanhead.core.problem.RemedyException;
import org.rattanhead.core.upstream.UpstreamLoad;

/**
 * Decodes load reports.
 */
public final class LoadJson {

	private static final JsonMapper MAPPER = JsonMapper.builder()
		.disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
		.build();

	private LoadJson() {
	}

	/**
	 * Decodes a report.
	 * @param payload the JSON text
	 * @return the report
	 */
	public static UpstreamLoad decode(Payload payload) {
		try {
			return MAPPER.readValue(payload.bytes(), UpstreamLoad.class);
		}
		catch (IOException ex) {
			throw new RemedyException("A load report could not be parsed", "check the address of the upstream", ex);
		}
	}

}
