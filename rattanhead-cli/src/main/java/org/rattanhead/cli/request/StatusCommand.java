package org.rattanhead.cli.request;

import java.io.PrintStream;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import org.kohsuke.args4j.Option;

import org.rattanhead.cli.Command;
import org.rattanhead.cli.ExitCode;

/**
 * Shows the live daemons, failure domains and upstreams that a daemon has on record.
 */
public final class StatusCommand implements Command {

	private static final JsonMapper MAPPER = new JsonMapper();

	@Option(name = "--address", metaVar = "IP:PORT", required = true, usage = "address of a daemon")
	private String address;

	@Option(name = "--json", usage = "write JSON")
	private boolean json;

	@Override
	public ExitCode run(PrintStream out, PrintStream err) throws Exception {
		String page = PageReader.read(this.address, "/status");
		if (this.json) {
			out.println(page);
			return ExitCode.OK;
		}
		JsonNode status = MAPPER.readTree(page);
		out.printf("daemon %s is %s, catalogue at offset %d%n", status.path("host").asText(),
				status.path("ready").asBoolean() ? "ready" : "not ready", status.path("catalogueOffset").asLong());
		status.path("members")
			.forEach((host) -> out.printf("member   %-24s %s%n", host.path("name").asText(),
					host.path("failureDomain").asText()));
		status.path("failureDomains")
			.forEach((domain) -> out.printf("domain   %-24s %s%n", domain.path("name").asText(),
					domain.path("state").asText()));
		status.path("upstreams").forEach((upstream) -> show(upstream, out));
		return ExitCode.OK;
	}

	private static void show(JsonNode upstream, PrintStream out) {
		out.printf("upstream %-24s %-9s %-4s running %d, waiting %d, outstanding tokens %d, lease holder %s%n",
				upstream.path("upstream").asText(), upstream.path("accepting").asBoolean() ? "accepting" : "closed",
				upstream.path("cold").asBoolean() ? "cold" : "warm", upstream.path("running").asInt(),
				upstream.path("queued").asInt(), upstream.path("outstandingTokens").asLong(),
				upstream.path("leaseHolder").asText());
	}

}
