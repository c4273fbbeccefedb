import java.io.IOException;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** A service of engines with one streaming route, its prompts, and engines that a part or a request may crash. */
final class Prompts {

	static final String HOST = "ficu95.example";

	static final String KEY = "n2ctnfzs989anu6wsjnb";

	/** A route of streams that may be resumed. */
	static final String ROUTE = "/lohu930/";

	/** A route of the same service, of streams that may not be resumed. */
	static final String ONCE_ROUTE = "/pufi791/";

	/** The part that all prompts of the route share. */
	static final String SHARED = "5c1e07a2:40";

	/** The part that crashes servers. */
	static final String FATAL = "dead0001:200";

	/** As in RULES.md and the site file: StableWindowMs. */
	static final long STABLE_WINDOW_MILLIS = 3_000;

	private static final AtomicInteger NUMBERS = new AtomicInteger();

	private static final String ENGINE = "{\"Slots\":11,\"KvCapacityTokens\":405000,\"KvTokenBytes\":163840,"
			+ "\"LinkMbps\":400000.0,\"Stride\":34,\"Models\":[{\"Name\":\"m\"}],\"step_ms\":1.31,"
			+ "\"per_seq_ms\":0.0013338,\"context_per_k\":0.00213,\"read_per_s\":154000.0,\"pairs_per_m\":0.162,"
			+ "\"chunk\":2048,\"report_lag_ms\":200.0,\"LoadsPerS\":0.0,\"loads_at_once\":8,"
			+ "\"usual\":{\"prompt\":5000,\"answer\":%d},\"HopMs\":0.1}";

	private Prompts() {
	}

	static void configure(Rig rig, int answerTokens) {
		rig.store.put("keyed.op", "config", "{\"Version\":7,\"Routes\":[" + route("r-1", ROUTE, true) + ","
				+ route("r-2", ONCE_ROUTE, false) + "],\"Services\":[{\"Name\":\"huvo11a\","
				+ "\"HealthPath\":\"/healthz\",\"MaxConnections\":304,\"Protocol\":\"h1\",\"Tls\":false,"
				+ "\"ColdStartS\":3.0,\"ColdPerS\":26.0,\"Engine\":" + ENGINE.formatted(answerTokens)
				+ "}],\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,"
				+ "\"IdleTimeoutMs\":15000},\"Tenants\":[{\"Name\":\"hule930\",\"ApiKeys\":[\"" + KEY
				+ "\"],\"Priority\":1}]}");
	}

	private static String route(String name, String prefix, boolean resumable) {
		return "{\"Name\":\"" + name + "\",\"Host\":\"" + HOST + "\",\"PathPrefix\":\"" + prefix
				+ "\",\"Kind\":\"streaming\",\"TimeoutMs\":10000,\"TargetLatencyMs\":300,\"Priority\":1,"
				+ "\"Service\":\"huvo11a\",\"MaxAttempts\":2,\"Public\":false,\"Sticky\":true,\"Resumable\":" + resumable
				+ ",\"TargetGapMs\":250}";
	}

	/** Returns a new attempt id. */
	static String id(String kind) {
		return kind + "-" + NUMBERS.incrementAndGet();
	}

	/** Encodes a client attempt. */
	static String request(String id, String path, String parts, int tokens, int answerTokens, String body) {
		return "POST " + path + " HTTP/1.1\r\nHost: " + HOST + "\r\nX-Attempt-Id: " + id
				+ "\r\nX-Model: m\r\nX-Token-Usage: " + tokens + "," + answerTokens + "\r\nX-Prompt-Prefix: " + parts
				+ "\r\nX-Deadline-Remaining-Ms: 10000\r\nAuthorization: Bearer " + KEY + "\r\nContent-Length: "
				+ body.length() + "\r\n\r\n" + body;
	}

	static boolean isPrompt(Rig.Request request) {
		return request.target.startsWith(ROUTE) || request.target.startsWith(ONCE_ROUTE);
	}

	static void otherCalls(Rig.Server server, Rig.Request request, Rig.Exchange exchange) throws IOException {
		if (request.target.equals("/rattanhead/order")) {
			exchange.answer(200, "Content-Type: application/json\r\n", "{\"Free\":400000}");
		}
		else if (request.target.equals("/rattanhead/report")) {
			exchange.answer(200, "Content-Type: application/json\r\n",
					"{\"Stage\":\"both\",\"Models\":[{\"Name\":\"m\",\"Version\":1,\"Adapters\":[]}],\"Busy\":false,"
							+ "\"Sequence\":0,\"Waiting\":0,\"Running\":0,\"KvUsed\":0,\"KvTotal\":405000,\"Handles\":0,"
							+ "\"pace\":1,\"Tickets\":[]}");
		}
		else if (request.target.equals("/healthz")) {
			exchange.answer(200, "X-Instance-Id: " + server.id + "\r\n", "");
		}
		else {
			exchange.answer(404, "", "");
		}
	}

	/** Returns how long an engine reads a prompt, by the figures of the configuration. */
	static long readMillis(int tokens) {
		return Math.round(tokens / 154.0 + 0.162 * ((double) tokens * tokens / 2) / 1e6);
	}

	static int tokens(Rig.Request request) {
		return Integer.parseInt(request.field("X-Token-Usage").split(",")[0]);
	}

	static final Map<String, Integer> SIGNATURES = new ConcurrentHashMap<>();

	/** Writes a stream, with or without framing. */
	static void stream(Rig.Request request, Rig.Exchange exchange, int events, long gapMillis, boolean framed)
			throws IOException {
		String id = request.field("X-Attempt-Id");
		int last = request.field("Last-Event-Id").isEmpty() ? 0 : Integer.parseInt(request.field("Last-Event-Id"));
		exchange.write("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\nX-Response-Signature: s." + id
				+ "\r\nX-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\n"
				+ (framed ? "Transfer-Encoding: chunked\r\n\r\n" : "Connection: close\r\n\r\n"));
		for (int event = last + 1; event <= events; event++) {
			String text = "id: " + event + "\ndata: " + id + "/" + event + "\n\n";
			if (framed) {
				exchange.chunk(text);
			}
			else {
				exchange.write(text);
			}
			if (event < events) {
				Rig.sleep(gapMillis);
			}
		}
		if (framed) {
			exchange.write("0\r\n\r\n");
		}
		else {
			exchange.close();
		}
	}

}
