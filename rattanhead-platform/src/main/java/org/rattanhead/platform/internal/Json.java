package org.rattanhead.platform.internal;

import java.io.IOException;
import java.util.function.Function;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;

import org.rattanhead.core.Payload;
import org.rattanhead.core.problem.RemedyException;

/**
 * The JSON mapper of this module and helpers for payloads.
 */
public final class Json {

	/** Rejects input with a missing or null field; ignores unknown fields. */
	public static final JsonMapper MAPPER = JsonMapper.builder()
		.enable(DeserializationFeature.FAIL_ON_MISSING_CREATOR_PROPERTIES)
		.enable(DeserializationFeature.FAIL_ON_NULL_CREATOR_PROPERTIES)
		.disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
		.build();

	private Json() {
	}

	/**
	 * Parses a payload and decodes it.
	 * @param <T> the type of the result
	 * @param payload the JSON text
	 * @param decoder converts the JSON tree to the result
	 * @return the result
	 * @throws RemedyException if the payload is not JSON of the expected form
	 */
	public static <T> T decode(Payload payload, Function<JsonNode, T> decoder) {
		try {
			return decoder.apply(MAPPER.readTree(payload.bytes()));
		}
		catch (IOException | IllegalArgumentException | NullPointerException ex) {
			throw new RemedyException("The platform sent JSON that is not of the expected form",
					"check that the address is that of the right service", ex);
		}
	}

	/**
	 * Encodes a tree.
	 * @param node the tree
	 * @return the JSON text
	 */
	public static Payload encode(JsonNode node) {
		return Payload.of(node.toString());
	}

}
