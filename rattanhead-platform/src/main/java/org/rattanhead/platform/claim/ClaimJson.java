package org.rattanhead.platform.claim;

import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

import org.rattanhead.core.HandlerTable;
import org.rattanhead.core.Payload;
import org.rattanhead.core.claim.ClaimAnswered;
import org.rattanhead.core.claim.ClaimKey;
import org.rattanhead.core.claim.ClaimRecord;
import org.rattanhead.core.claim.ClaimRefreshed;
import org.rattanhead.core.claim.ClaimReleased;
import org.rattanhead.core.claim.ClaimTaken;
import org.rattanhead.core.claim.KeptAnswer;
import org.rattanhead.core.problem.RemedyException;
import org.rattanhead.core.request.RequestId;
import org.rattanhead.platform.internal.Json;

/**
 * Encodes and decodes claims as JSON. One record of the log contains an array of claims.
 */
final class ClaimJson {

	private static final HandlerTable<ClaimRecord, ObjectNode> ENCODERS = new HandlerTable<ClaimRecord, ObjectNode>()
		.on(ClaimTaken.class, (record, now) -> node("taken", record, record.request()).put("digest", record.digest()))
		.on(ClaimReleased.class, (record, now) -> node("released", record, record.request()))
		.on(ClaimAnswered.class,
				(record, now) -> withAnswer(node("answered", record, record.request()), record.answer()))
		.on(ClaimRefreshed.class, (record, now) -> refreshed(record))
		.covering(ClaimRecord.class);

	private static final Map<String, Function<JsonNode, ClaimRecord>> DECODERS = Map.of("taken",
			(node) -> new ClaimTaken(key(node), node.required("digest").asText(), request(node)), "released",
			(node) -> new ClaimReleased(key(node), request(node)), "answered",
			(node) -> new ClaimAnswered(key(node), request(node), answer(node).orElseThrow()), "refreshed",
			(node) -> new ClaimRefreshed(key(node), node.required("digest").asText(), request(node), answer(node),
					node.required("asOfOffset").asLong()));

	private ClaimJson() {
	}

	static Payload encode(List<ClaimRecord> records) {
		ArrayNode array = Json.MAPPER.createArrayNode();
		records.forEach((record) -> array.add(ENCODERS.handle(record, 0)));
		return Json.encode(array);
	}

	static List<ClaimRecord> decode(Payload payload) {
		return Json.decode(payload, (array) -> {
			if (!array.isArray()) {
				throw new IllegalArgumentException("The record is not a JSON array of claims");
			}
			List<ClaimRecord> records = new ArrayList<>(array.size());
			array.forEach((node) -> records.add(record(node)));
			return records;
		});
	}

	private static ClaimRecord record(JsonNode node) {
		Function<JsonNode, ClaimRecord> decoder = DECODERS.get(node.required("type").asText());
		if (decoder == null) {
			throw new RemedyException("A claim has the unknown type " + node.get("type"),
					"run the same release on all daemons");
		}
		return decoder.apply(node);
	}

	private static ObjectNode refreshed(ClaimRefreshed record) {
		ObjectNode node = node("refreshed", record, record.request()).put("digest", record.digest())
			.put("asOfOffset", record.asOfOffset());
		record.answer().ifPresent((answer) -> withAnswer(node, answer));
		return node;
	}

	private static ObjectNode node(String type, ClaimRecord record, RequestId request) {
		return Json.MAPPER.createObjectNode()
			.put("type", type)
			.put("workspace", record.key().workspace())
			.put("key", record.key().key())
			.put("request", request.value());
	}

	private static ObjectNode withAnswer(ObjectNode node, KeptAnswer answer) {
		return node.put("status", answer.status())
			.put("contentType", answer.contentType())
			.put("body", Base64.getEncoder().encodeToString(answer.body().bytes()));
	}

	private static ClaimKey key(JsonNode node) {
		return new ClaimKey(node.required("workspace").asText(), node.required("key").asText());
	}

	private static RequestId request(JsonNode node) {
		return new RequestId(node.required("request").asText());
	}

	private static Optional<KeptAnswer> answer(JsonNode node) {
		return node.has("body")
				? Optional.of(new KeptAnswer(node.required("status").asInt(), node.required("contentType").asText(),
						new Payload(Base64.getDecoder().decode(node.required("body").asText()))))
				: Optional.empty();
	}

}
