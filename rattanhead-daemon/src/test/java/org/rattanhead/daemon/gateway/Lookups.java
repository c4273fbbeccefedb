package org.rattanhead.daemon.gateway;

import java.io.IOException;
import java.util.concurrent.TimeUnit;

import org.rattanhead.adapter.standin.RawAnswer;
import org.rattanhead.adapter.standin.RawRequest;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Short requests to a sound service, beside trouble elsewhere.
 */
final class Lookups {

	private static final int COUNT = 20;

	/** The routes of the rig time out after 4,000 ms; a lookup is sound work of 0 ms. */
	private static final long MAX_MILLIS = 1_000;

	private static final String FOUND = "found";

	private Lookups() {
	}

	static RawAnswer answer(RawRequest request) {
		return GatewayRig.signed(request, FOUND);
	}

	static void awaitFirst(GatewayProcess gateway) throws InterruptedException {
		GatewayRig.await(() -> look(gateway, "first").contains(FOUND));
	}

	static void assertAnswered(GatewayProcess gateway) {
		for (int index = 0; index < COUNT; index++) {
			long startNanos = System.nanoTime();
			assertThat(look(gateway, "l" + index)).as("lookup %d", index).contains(FOUND);
			assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos)).as("lookup %d, ms", index)
				.isLessThan(MAX_MILLIS);
		}
	}

	private static String look(GatewayProcess gateway, String attempt) {
		try (RawCaller caller = new RawCaller(gateway.callersAddress())) {
			return caller.send(RawCaller.request("POST", "/look/" + attempt, attempt, "body")).answer();
		}
		catch (IOException ex) {
			return "<" + ex.getMessage() + ">";
		}
	}

}
