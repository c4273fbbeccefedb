package org.rattanhead.daemon.gateway;

import java.io.IOException;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.rattanhead.adapter.standin.StoreStandin;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Two gateways on a store that comes back from an older copy.
 */
class StoreRestoreEndToEndTests {

	private static final String REQUEST = "GET /added/1 HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a\r\n"
			+ "X-Deadline-Remaining-Ms: 4000\r\nAuthorization: Bearer k1\r\n\r\n";

	private static final String ADDED = ",{'Host':'h','PathPrefix':'/added/','Kind':'idempotent','TimeoutMs':4000,"
			+ "'TargetLatencyMs':100,'MaxAttempts':2,'Service':'s'}";

	/**
	 * A store is stable 3 s after it has come back; a host is in contact with it by then.
	 */
	private static final long BOUND_SECONDS = 3;

	/**
	 * Guards against CONFIG: a route that is never served since its offset had been read
	 * before the store lost it and gave it out again.
	 */
	@ParameterizedTest(name = "{0} versions lost, {1} ms away")
	@CsvSource({ "2, 0", "2, 400", "3, 1200" })
	void servesARouteAddedAfterTheRestore(int lost, long awayMillis) throws Exception {
		try (GatewayRig rig = new GatewayRig(1, (request) -> GatewayRig.signed(request, "ok"));
				Gateway other = rig.startAnother();
				RawCaller otherCaller = rig.anotherCaller()) {
			StoreStandin store = rig.store;
			store.copy();
			for (int version = 2; version <= 1 + lost; version++) {
				rig.configure(version, "");
			}
			Thread.sleep(2_000);
			store.goAway();
			Thread.sleep(awayMillis);
			store.restore();
			for (int version = 3; version <= 2 + lost; version++) {
				rig.configure(version, (version == 2 + lost) ? ADDED : "");
			}
			rig.register(0, "ready");
			store.comeBack();
			GatewayRig.await(() -> rig.call(REQUEST).contains(" 200 "), BOUND_SECONDS);
			GatewayRig.await(() -> answers(otherCaller), BOUND_SECONDS);
			assertThat(rig.receivedRequests()).isNotEmpty();
		}
	}

	private static boolean answers(RawCaller caller) {
		try {
			return caller.send(REQUEST).answer().contains(" 200 ");
		}
		catch (IOException ex) {
			return false;
		}
	}

}
