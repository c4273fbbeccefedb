package org.rattanhead.daemon.gateway;

import java.io.IOException;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Two gateways on a store whose answers arrive at the rate of a slow link.
 */
class LargeConfigurationEndToEndTests {

	/** The link of the smallest machine of a large deployment, 9.8 Mbit/s. */
	private static final int LINK_BYTES_PER_MILLI = 1_225;

	private static final long BOUND_SECONDS = 2;

	/** Guards against CONFIG: the last of many large versions that is not served. */
	@ParameterizedTest(name = "{0} added routes, {1} versions {2} ms apart")
	@CsvSource({ "1600, 1, 0", "1600, 12, 300", "1600, 30, 80", "240, 30, 80" })
	void servesTheRouteOfTheLastVersion(int routes, int versions, long gapMillis) throws Exception {
		try (GatewayRig rig = new GatewayRig(1, (request) -> GatewayRig.signed(request, "ok"));
				Gateway other = rig.startAnother();
				RawCaller otherCaller = rig.anotherCaller()) {
			rig.store.server().setScript((request) -> rig.store.serve(request).pacedBy(LINK_BYTES_PER_MILLI));
			String added = IntStream.range(0, routes)
				.mapToObj((index) -> route("added-" + index))
				.collect(Collectors.joining());
			for (int version = 2; version <= versions; version++) {
				rig.configure(version, added + route("of-version-" + version));
				Thread.sleep(gapMillis);
			}
			rig.configure(versions + 1, added + route("last"));
			GatewayRig.await(() -> rig.call(request("last")).contains(" 200 "), BOUND_SECONDS);
			GatewayRig.await(() -> answers(otherCaller), BOUND_SECONDS);
		}
	}

	private static String route(String name) {
		return ",{'Host':'h','PathPrefix':'/" + name + "/','Kind':'idempotent','TimeoutMs':4000,"
				+ "'TargetLatencyMs':100,'Priority':1,'Public':false,'Sticky':true,'MaxAttempts':2,'Service':'s'}";
	}

	private static String request(String route) {
		return "GET /" + route + "/1 HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a\r\n"
				+ "X-Deadline-Remaining-Ms: 4000\r\nAuthorization: Bearer k1\r\n\r\n";
	}

	private static boolean answers(RawCaller caller) {
		try {
			return caller.send(request("last")).answer().contains(" 200 ");
		}
		catch (IOException ex) {
			return false;
		}
	}

}
