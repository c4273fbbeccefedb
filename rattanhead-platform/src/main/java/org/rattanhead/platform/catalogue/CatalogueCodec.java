package org.rattanhead.platform.catalogue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

import org.rattanhead.core.Payload;
import org.rattanhead.core.catalogue.CatalogueEdit;
import org.rattanhead.core.catalogue.CatalogueEntry;
import org.rattanhead.core.catalogue.EntryChange;
import org.rattanhead.core.catalogue.EntryKey;
import org.rattanhead.core.catalogue.EntryKind;
import org.rattanhead.platform.internal.Json;

/**
 * Encodes edits as JSON records of the log.
 */
public final class CatalogueCodec {

	private static final String TYPE = "edit";

	private CatalogueCodec() {
	}

	/**
	 * Encodes an edit.
	 * @param edit the edit
	 * @return the record
	 */
	public static Payload encode(CatalogueEdit edit) {
		ObjectNode node = Json.MAPPER.createObjectNode();
		node.put("type", TYPE);
		node.put("id", edit.id());
		node.put("author", edit.author());
		node.put("atMillis", edit.atMillis());
		node.put("reason", edit.reason());
		ArrayNode changes = node.putArray("changes");
		edit.changes().forEach((change) -> changes.add(encode(change)));
		return Json.encode(node);
	}

	/**
	 * Decodes a record.
	 * @param payload the record
	 * @return the edit, empty if the record is malformed
	 */
	public static Optional<CatalogueEdit> decode(Payload payload) {
		try {
			return Json.decode(payload, CatalogueCodec::edit);
		}
		catch (RuntimeException ex) {
			return Optional.empty();
		}
	}

	/**
	 * Encodes an entry for display.
	 * @param entry the entry
	 * @return the JSON tree
	 */
	public static JsonNode encode(CatalogueEntry entry) {
		return Json.MAPPER.valueToTree(entry);
	}

	private static ObjectNode encode(EntryChange change) {
		ObjectNode node = Json.MAPPER.createObjectNode();
		node.put("kind", change.key().kind().label());
		node.put("name", change.key().name());
		node.put("baseOffset", change.baseOffset());
		change.after().ifPresent((entry) -> node.set("after", encode(entry)));
		return node;
	}

	private static Optional<CatalogueEdit> edit(JsonNode node) {
		if (!TYPE.equals(node.path("type").asText())) {
			return Optional.empty();
		}
		List<EntryChange> changes = new ArrayList<>();
		node.required("changes").forEach((change) -> changes.add(change(change)));
		return Optional.of(new CatalogueEdit(node.required("id").asText(), node.required("author").asText(),
				node.required("atMillis").asLong(), node.required("reason").asText(), changes));
	}

	private static EntryChange change(JsonNode node) {
		EntryKind kind = EntryKind.ofLabel(node.required("kind").asText()).orElseThrow();
		EntryKey key = new EntryKey(kind, node.required("name").asText());
		Optional<CatalogueEntry> after = node.hasNonNull("after")
				? Optional.of(Json.MAPPER.convertValue(node.get("after"), kind.entryType())) : Optional.empty();
		if (after.isPresent() && !after.get().key().equals(key)) {
			throw new IllegalArgumentException(
					"The entry " + after.get().key() + " does not match the change of " + key);
		}
		return new EntryChange(key, node.required("baseOffset").asLong(), after);
	}

}
