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

	static Payload encode(String host, DaemonStatus status) {
		ObjectNode node = MAPPER.createObjectNode();
		node.put("host", host);
		node.put("ready", status.ready());
		node.put("catalogueOffset", status.catalogue().offset());
		node.put("membershipSettled", status.membership().settled());
		node.set("members", MAPPER.valueToTree(status.membership().members()));
		node.set("leavingUpstreams", MAPPER.valueToTree(status.membership().leavingUpstreams()));
		node.set("failureDomains", MAPPER.valueToTree(status.catalogue().list(FailureDomainEntry.class)));
		ArrayNode upstreams = node.putArray("upstreams");
		status.digests().forEach((holder, digests) -> digests.forEach((digest) -> {
			ObjectNode upstream = MAPPER.valueToTree(digest);
			upstreams.add(upstream.put("leaseHolder", holder));
		}));
		return Payload.of(node.toString());
	}

}
