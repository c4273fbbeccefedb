package org.rattanhead.daemon.gateway;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.rattanhead.adapter.standin.RawServer;
import org.rattanhead.adapter.standin.StoreStandin;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * An instance of one service sends bodies without end; requests to another service are
 * answered as before, by a gateway process with a small heap.
 */
class EndlessBodyTests {

	private static final String CHUNKED = "Transfer-Encoding: chunked\r\n";

	private static final String EVENTS = "Content-Type: text/event-stream\r\n" + CHUNKED;

	private static final int CALLERS = 12;

	private static final int LOOKUPS = 20;

	/** The routes of the rig time out after 4,000 ms; a lookup is sound work of 0 ms. */
	private static final long MAX_LOOKUP_MILLIS = 1_000;

	private static final String ROUTE = ",{'Host':'h','PathPrefix':'/endless/','Kind':'streaming','TimeoutMs':4000,"
			+ "'TargetLatencyMs':300,'MaxAttempts':1,'Service':'t','Resumable':false,'TargetGapMs':250}";

	/**
	 * Guards against CONFIG: a server's body without end that stops all other answers.
	 */
	@ParameterizedTest(name = "{0}, caller reads: {1}")
	@CsvSource({ "TINY_CHUNKS, true", "TINY_CHUNKS, false", "LARGE_CHUNKS, true", "LARGE_CHUNKS, false",
			"TINY_EVENTS, true", "TINY_EVENTS, false", "NO_FRAMING, true", "NO_FRAMING, false" })
	void answersOtherServiceBesideBodiesWithoutEnd(Body body, boolean callerReads, @TempDir Path folder)
			throws Exception {
		List<EndlessCaller> callers = new ArrayList<>();
		try (StoreStandin store = new StoreStandin();
				RawServer sound = new RawServer((request) -> GatewayRig.signed(request, "found"));
				EndlessInstance endless = new EndlessInstance(body.fields, body.block())) {
			GatewayRig.configure(store, 1, ROUTE);
			GatewayRig.register(store, 0, sound.address(), "ready");
			store.put(GatewayRig.INSTANCES, "t-0",
					String
						.format(Locale.ROOT,
								"{'Service':'t','Address':'127.0.0.1:%d','Zone':'z','Slots':99,'State':'ready',"
										+ "'ColdRemainingMs':0,'Sequence':1,'born':1}",
								endless.address().getPort())
						.replace('\'', '"'));
			try (GatewayProcess gateway = new GatewayProcess(folder, "self", store.server().address())) {
				GatewayRig.await(() -> look(gateway, "first").contains("found"));
				for (int index = 0; index < CALLERS; index++) {
					callers.add(new EndlessCaller(gateway.callersAddress(), "e" + index, callerReads));
				}
				GatewayRig.await(() -> endless.sending() > CALLERS / 2);
				for (int index = 0; index < LOOKUPS; index++) {
					long startNanos = System.nanoTime();
					assertThat(look(gateway, "l" + index)).as("lookup %d", index).contains("found");
					assertThat((System.nanoTime() - startNanos) / 1_000_000).as("lookup %d, ms", index)
						.isLessThan(MAX_LOOKUP_MILLIS);
				}
				assertThat(gateway.log()).doesNotContain("OutOfMemoryError");
			}
		}
		finally {
			for (EndlessCaller caller : callers) {
				caller.close();
			}
		}
	}

	private static String look(GatewayProcess gateway, String attempt) {
		try (RawCaller caller = new RawCaller(gateway.callersAddress())) {
			return caller.send(RawCaller.request("POST", "/look/" + attempt, attempt, "body")).answer();
		}
		catch (java.io.IOException ex) {
			return "<" + ex.getMessage() + ">";
		}
	}

	/** A body that has no end. */
	private enum Body {

		TINY_CHUNKS(CHUNKED, "1\r\nx\r\n", 2_000), LARGE_CHUNKS(CHUNKED, "4000\r\n" + "x".repeat(16_384) + "\r\n", 4),
		TINY_EVENTS(EVENTS, "7\r\ndata:\n\n\r\n", 2_000), NO_FRAMING("", "x", 16_384);

		private final String fields;

		private final String repeated;

		private final int count;

		Body(String fields, String repeated, int count) {
			this.fields = fields;
			this.repeated = repeated;
			this.count = count;
		}

		byte[] block() {
			return this.repeated.repeat(this.count).getBytes(StandardCharsets.US_ASCII);
		}

	}

}
