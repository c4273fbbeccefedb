package org.rattanhead.daemon.gateway;

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

	private static final int CALLERS = 12;

	private static final int MANY_CALLERS = 300;

	private static final String ROUTE = ",{'Host':'h','PathPrefix':'/endless/','Kind':'streaming','TimeoutMs':4000,"
			+ "'TargetLatencyMs':300,'MaxAttempts':1,'Service':'t','Resumable':false,'TargetGapMs':250}";

	/**
	 * Guards against CONFIG: a server's body without end that stops all other answers.
	 */
	@ParameterizedTest(name = "{0}, caller reads: {1}")
	@CsvSource({ "TINY_CHUNKS, true", "TINY_CHUNKS, false", "LARGE_CHUNKS, true", "LARGE_CHUNKS, false",
			"TINY_EVENTS, true", "TINY_EVENTS, false", "NO_FRAMING, true", "NO_FRAMING, false" })
	void answersOtherServiceBesideBodiesWithoutEnd(EndlessBody body, boolean callerReads, @TempDir Path folder)
			throws Exception {
		answersOtherService(body, callerReads, CALLERS, folder);
	}

	/**
	 * Guards against LOST: many answers at once that are complete at no point and
	 * together exceed the memory of the gateway.
	 */
	@ParameterizedTest(name = "{0}")
	@CsvSource({ "UNFINISHED_EVENT", "UNFINISHED_LENGTH" })
	void answersOtherServiceBesideManyUnfinishedBodies(EndlessBody body, @TempDir Path folder) throws Exception {
		answersOtherService(body, false, MANY_CALLERS, folder);
	}

	private static void answersOtherService(EndlessBody body, boolean callerReads, int count, Path folder)
			throws Exception {
		List<EndlessCaller> callers = new ArrayList<>();
		try (StoreStandin store = new StoreStandin();
				RawServer sound = new RawServer(Lookups::answer);
				EndlessInstance endless = new EndlessInstance(body)) {
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
				Lookups.awaitFirst(gateway);
				for (int index = 0; index < count; index++) {
					callers.add(new EndlessCaller(gateway.callersAddress(), "e" + index, callerReads));
				}
				GatewayRig.await(() -> endless.sending() > count / 2);
				Lookups.assertAnswered(gateway);
				assertThat(gateway.log()).doesNotContain("OutOfMemoryError");
			}
		}
		finally {
			for (EndlessCaller caller : callers) {
				caller.close();
			}
		}
	}

}
