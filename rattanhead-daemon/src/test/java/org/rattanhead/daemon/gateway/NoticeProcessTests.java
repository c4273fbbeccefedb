package org.rattanhead.daemon.gateway;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.rattanhead.adapter.standin.StoreStandin;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Three gateway processes and eight servers of one service, of which some leave or ask
 * for time by their answers only. Run by {@code bin/notices}.
 */
class NoticeProcessTests {

	private static final int GATEWAYS = 3;

	private static final int SERVERS = 8;

	private static final int CALLERS_PER_GATEWAY = 4;

	private static final long RUN_MILLIS = 4_500;

	/** The share of the load that seven, or five, sound servers must still serve. */
	private static final double MIN_SERVED_SHARE = 0.98;

	/**
	 * Guards against DRAIN and BUDGET: requests to servers that say that they leave, or
	 * that they want none for a time.
	 */
	@ParameterizedTest(name = "{0} servers: {1}, store down: {2}")
	@CsvSource({ "3, Server-Leaving: 1, false", "3, Server-Leaving: 1, true", "1, Retry-After: 0.7, false",
			"1, Retry-After: 3, false", "1, Retry-After: 20, false", "1, Retry-After: 3, true" })
	void heedsNoticesOfServers(int count, String field, boolean storeDown, @TempDir Path folder) throws Exception {
		List<NoticeServer> servers = new ArrayList<>();
		List<GatewayProcess> gateways = new ArrayList<>();
		try (StoreStandin store = new StoreStandin()) {
			GatewayRig.configure(store, 1, "");
			for (int index = 0; index < SERVERS; index++) {
				servers.add(new NoticeServer());
				GatewayRig.register(store, index, servers.get(index).address(), "ready");
			}
			for (int index = 0; index < GATEWAYS; index++) {
				gateways.add(new GatewayProcess(folder, "g" + index, store.server().address()));
			}
			NoticeLoad load = new NoticeLoad(gateways, CALLERS_PER_GATEWAY);
			load.awaitServed();
			if (storeDown) {
				store.close();
			}
			servers.subList(0, count).forEach((server) -> server.startSending(field));
			load.run(RUN_MILLIS);
			long late = servers.stream().mapToLong(NoticeServer::lateArrivals).sum();
			long most = servers.stream().mapToLong(NoticeServer::mostArrivalsInQuietTime).max().orElse(0);
			System.out.printf(
					"notices: %s, store down %b: %d requests, served share %.3f, %d arrivals later than"
							+ " DrainMs, at most %d arrivals in a quiet time%n",
					field, storeDown, load.sent(), load.servedShare(), late, most);
			assertThat(late).as("arrivals later than DrainMs").isZero();
			assertThat(most).as("arrivals of one gateway in a quiet time").isLessThanOrEqualTo(2);
			assertThat(load.servedShare()).as("served share").isGreaterThanOrEqualTo(MIN_SERVED_SHARE);
		}
		finally {
			for (GatewayProcess gateway : gateways) {
				gateway.close();
			}
			for (NoticeServer server : servers) {
				server.close();
			}
		}
	}

}
