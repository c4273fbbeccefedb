import java.util.concurrent.TimeUnit;

/**
 * A stream that begins during the shutdown of its gateway and lasts longer than the grace period.
 * It may be broken off, but its end must not look complete.
 */
final class StreamAtStop {

	private static final int EVENTS = 20;

	private static final int GAP_MS = 600;

	private static final String ROUTES = "{'Name':'r1','Host':'h.example','PathPrefix':'/archive/',"
			+ "'Kind':'streaming','TimeoutMs':15000,'TargetLatencyMs':3000,'Priority':1,'Service':'pool',"
			+ "'MaxAttempts':2,'Public':false,'Sticky':true,'Resumable':true,'TargetGapMs':1000}";

	private static final String SERVICES = "{'Name':'pool','HealthPath':'/healthz','MaxConnections':304,"
			+ "'Protocol':'h1','Tls':false,'ColdStartS':3.0,'ColdPerS':26.0}";

	private StreamAtStop() {
	}

	public static void main(String[] arguments) {
		Run.main(arguments, StreamAtStop::run);
	}

	private static boolean run(Run run) throws Exception {
		run.configure(1, ROUTES, SERVICES);
		run.server("i-1", "pool", 11, (server, head, body, out) -> stream(run, server, head, out));
		run.server("i-2", "pool", 11, (server, head, body, out) -> stream(run, server, head, out));
		run.startGateways(2);
		Gateway gateway = run.gateways.get(0);
		try (Client client = new Client(gateway.front)) {
			ask(run, client, "a1", 2);
			if (run.trouble) {
				gateway.signal("TERM");
				run.record.add("SIGTERM to %s; GraceS is %d", gateway.name, Gateway.GRACE_S);
			}
			TimeUnit.SECONDS.sleep(1);
			return holds(run, ask(run, client, "a2", EVENTS));
		}
	}

	private static Client.Answer ask(Run run, Client client, String attempt, int events) throws Exception {
		run.record.add("client: sends %s on its kept connection, for %d events", attempt, events);
		client.send(Client.post("/archive/x", attempt, 15_000, "X-Model: m\r\nX-Token-Usage: 900," + events + "\r\n"
				+ "X-Prompt-Prefix: a1:40,b" + attempt + ":860\r\n", "body"), "body");
		Client.Answer answer = client.receive(16_000, (bytes) -> {
		});
		run.record.add("client: %s has status %d, %s", attempt, answer.status,
				(answer.head != null) ? answer.head.fields() : "no head");
		run.record.add("client: %s ended %s %s after %d of %d events%s", attempt, answer.end, answer.detail,
				answer.events(), events, answer.endsAfterAnEvent() ? "" : ", inside an event");
		return answer;
	}

	private static void stream(Run run, Server server, Http.Head head, java.io.OutputStream out) throws Exception {
		int events = Integer.parseInt(head.field("X-Token-Usage").split(",")[1].trim());
		int first = head.field("Last-Event-Id").isEmpty() ? 1 : Integer.parseInt(head.field("Last-Event-Id")) + 1;
		run.record.add("server %s: runs %s from event %d", server.id, head.field("X-Attempt-Id"), first);
		Server.beginStream(out, head);
		for (int event = first; event <= events; event++) {
			TimeUnit.MILLISECONDS.sleep(GAP_MS);
			Server.chunk(out, "id: " + event + "\ndata: piece-" + event + "\n\n");
		}
		Server.endStream(out);
		run.record.add("server %s: ended %s", server.id, head.field("X-Attempt-Id"));
	}

	/** ORDER: the stream must not end as complete before its last piece. */
	private static boolean holds(Run run, Client.Answer answer) {
		boolean looksComplete = answer.status == 200 && (answer.end == Client.End.COMPLETE
				|| (answer.end == Client.End.CLOSED_IN_ORDER && answer.endsAfterAnEvent()));
		if (!run.trouble && !looksComplete) {
			throw new IllegalStateException("without the disruption the stream did not end");
		}
		return !looksComplete || answer.events() == EVENTS;
	}

}
