package org.rattanhead.platform.internal;

import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;

import org.rattanhead.core.Payload;
import org.rattanhead.core.host.Host;
import org.rattanhead.core.host.HostList;

/**
 * Decodes answers of the host list service.
 */
public final class HostJson {

	private HostJson() {
	}

	/**
	 * Decodes a host list.
	 * @param payload the JSON text
	 * @return the hosts
	 */
	public static HostList decode(Payload payload) {
		return Json.decode(payload, HostJson::hosts);
	}

	private static HostList hosts(JsonNode node) {
		List<Host> hosts = new ArrayList<>();
		for (JsonNode host : node.required("hosts")) {
			hosts.add(Json.MAPPER.convertValue(host, Host.class));
		}
		return new HostList(hosts);
	}

}
