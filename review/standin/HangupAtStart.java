import java.util.concurrent.TimeUnit;

/**
 * Gateways whose settings change while they start. A platform restarts a process that exits by
 * itself after a short delay. No process may end by itself three times on two machines.
 */
final class HangupAtStart {

	private static final int CHANGES = 3;

	private static final int HANGUP_AFTER_START_MS = 300;

	private static final int RESTART_DELAY_MS = 1_000;

	private static final String ROUTES = "{'Name':'r1','Host':'h.example','PathPrefix':'/look/','Kind':'idempotent',"
			+ "'TimeoutMs':1000,'TargetLatencyMs':150,'Priority':2,'Service':'app','MaxAttempts':2,'Public':false}";

	private static final String SERVICES = "{'Name':'app','HealthPath':'/healthz','MaxConnections':110,"
			+ "'Protocol':'h1','Tls':false,'ColdStartS':0.0,'ColdPerS':0.0}";

	private HangupAtStart() {
	}

	public static void main(String[] arguments) {
		Run.main(arguments, HangupAtStart::run);
	}

	private static boolean run(Run run) throws Exception {
		run.configure(1, ROUTES, SERVICES);
		run.server("i-1", "app", 6, (server, head, body, out) -> Server.write(out, 200, head,
				"X-Response-Signature: s1\r\n", "found"));
		run.addGateways(2);
		int[] ends = new int[run.gateways.size()];
		for (Gateway gateway : run.gateways) {
			gateway.start();
		}
		run.record.add("%d gateways start", ends.length);
		for (int change = 1; change <= CHANGES; change++) {
			TimeUnit.MILLISECONDS.sleep(HANGUP_AFTER_START_MS);
			if (run.trouble) {
				for (Gateway gateway : run.gateways) {
					gateway.signal("HUP");
				}
				run.record.add("the settings change: SIGHUP to both gateways");
			}
			TimeUnit.MILLISECONDS.sleep(RESTART_DELAY_MS);
			for (int index = 0; index < ends.length; index++) {
				if (run.gateways.get(index).awaitExit(0)) {
					ends[index]++;
					run.record.add("%s has ended by itself; the platform starts it again",
							run.gateways.get(index).name);
					run.gateways.get(index).start();
				}
			}
		}
		for (int index = 0; index < ends.length; index++) {
			run.gateways.get(index).awaitReady();
			run.record.add("%s ended by itself %d times and is ready", run.gateways.get(index).name, ends[index]);
		}
		return holds(ends);
	}

	/** Fault: on two machines processes end by themselves three times. */
	private static boolean holds(int[] ends) {
		int machines = 0;
		for (int count : ends) {
			machines += (count >= 3) ? 1 : 0;
		}
		return machines < 2;
	}

}
