package org.rattanhead.daemon;

import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

import org.rattanhead.core.Payload;
import org.rattanhead.core.catalogue.FailureDomainEntry;

/**
 * Encodes the status of a daemon as JSON.
 */
final class StatusPage {

	private static final JsonMapper MAPPER = new JsonMapper();

	private StatusPage() {
	}

	static Payload encode(String host, StatusBoard board) {
		ObjectNode node = MAPPER.createObjectNode();
		node.put("host", host);
		node.put("ready", board.ready());
		node.put("catalogueOffset", board.catalogue().offset());
		node.put("membershipSettled", board.membership().settled());
		node.set("members", MAPPER.valueToTree(board.membership().members()));
		node.set("leavingUpstreams", MAPPER.valueToTree(board.membership().leavingUpstreams()));
		node.set("failureDomains", MAPPER.valueToTree(board.catalogue().list(FailureDomainEntry.class)));
		ArrayNode upstreams = node.putArray("upstreams");
		board.digests().forEach((holder, digests) -> digests.forEach((digest) -> {
			ObjectNode upstream = MAPPER.valueToTree(digest);
			upstreams.add(upstream.put("leaseHolder", holder));
		}));
		return Payload.of(node.toString());
	}

}
