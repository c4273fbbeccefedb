package org.rattanhead.daemon.gateway;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.rattanhead.adapter.standin.StoreStandin;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Gateway processes and eight servers of one service, of which some name in their answers
 * the requests a second that they take from all gateways together.
 */
class LimitProcessTests {

	private static final int GATEWAYS = 4;

	private static final int SERVERS = 8;

	private static final int CALLERS_PER_GATEWAY = 4;

	private static final double FALLEN_LIMIT = 1.4;

	private static final long BEFORE_EVENT_MILLIS = 2_000;

	private static final long AFTER_EVENT_MILLIS = 7_000;

	private static final long RECOVERY_MILLIS = 1_500;

	private static final long RECOVERED_MILLIS = 2_000;

	/** The share of the load that the servers without a limit must serve. */
	private static final double MIN_SERVED_SHARE = 0.98;

	/** The share of their limits that servers must get while there is more demand. */
	private static final double MIN_USED_SHARE = 0.7;

	private final List<LimitServer> servers = new ArrayList<>();

	private final List<GatewayProcess> gateways = new ArrayList<>();

	private StoreStandin store;

	private NoticeLoad load;

	enum Event {

		NONE, GATEWAY_KILLED, GATEWAY_STARTED, LIMIT_FALLS, LIMIT_ENDS

	}

	@BeforeEach
	void start(@TempDir Path folder) throws Exception {
		this.store = new StoreStandin();
		GatewayRig.configure(this.store, 1, "");
		for (int index = 0; index < SERVERS; index++) {
			this.servers.add(new LimitServer());
			GatewayRig.register(this.store, index, this.servers.get(index).address(), "ready");
		}
		this.load = new NoticeLoad(this.gateways, CALLERS_PER_GATEWAY);
		for (int index = 0; index < GATEWAYS; index++) {
			// Each listens before free addresses are looked up for the next one.
			this.gateways.add(new GatewayProcess(folder, "g" + index, this.store.server().address()));
			this.load.awaitServed();
		}
	}

	/**
	 * Guards against LIMIT: a server gets more requests than the limit that it named, and
	 * callers wait for turns that come too late.
	 */
	@ParameterizedTest(name = "{0} servers name {1} a second, event: {2}")
	@CsvSource({ "1, 1, NONE", "2, 1.4, NONE", "3, 5, NONE", "2, 1.4, GATEWAY_KILLED", "2, 1.4, GATEWAY_STARTED",
			"2, 5, LIMIT_FALLS", "8, 5, NONE", "8, 1, LIMIT_ENDS" })
	void keepsLimitsOfServers(int count, double limit, Event event) throws Exception {
		if (event == Event.GATEWAY_STARTED) {
			this.gateways.get(GATEWAYS - 1).close();
		}
		List<LimitServer> limited = this.servers.subList(0, count);
		limited.forEach((server) -> server.startNaming(limit));
		this.load.run(BEFORE_EVENT_MILLIS);
		cause(event, limited);
		this.load.run(AFTER_EVENT_MILLIS);
		int most = limited.stream().mapToInt(LimitServer::mostArrivals).max().orElse(0);
		double allowed = limited.get(0).allowedArrivals();
		double used = limited.stream().mapToInt(LimitServer::arrivals).sum()
				/ (count * limit * (BEFORE_EVENT_MILLIS + AFTER_EVENT_MILLIS) / 1_000);
		System.out.printf(
				"limits: %d servers at %s, %s: at most %d arrivals in 4 s, allowed %.1f; %d requests, served share %.3f,"
						+ " refused %d, failed %d; used share %.2f%n",
				count, limit, event, most, allowed, this.load.sent(), this.load.servedShare(), this.load.refused(),
				this.load.failed(), used);
		assertThat((double) most).as("arrivals in 4 s").isLessThanOrEqualTo(allowed);
		if (event != Event.GATEWAY_KILLED) {
			assertThat(this.load.failed()).as("requests without an answer or a prompt refusal with Retry-After")
				.isZero();
		}
		if (count < SERVERS) {
			assertThat(this.load.servedShare()).as("served share").isGreaterThanOrEqualTo(MIN_SERVED_SHARE);
		}
		else {
			assertThat(used).as("used share of the limits").isGreaterThanOrEqualTo(MIN_USED_SHARE);
		}
		if (event == Event.LIMIT_ENDS) {
			endLimits();
		}
	}

	private void cause(Event event, List<LimitServer> limited) throws Exception {
		GatewayProcess last = this.gateways.get(GATEWAYS - 1);
		switch (event) {
			case GATEWAY_KILLED -> last.close();
			case GATEWAY_STARTED -> {
				last.start();
				GatewayRig.await(() -> this.load.accepts(GATEWAYS - 1));
			}
			case LIMIT_FALLS -> limited.forEach((server) -> server.startNaming(FALLEN_LIMIT));
			default -> {
			}
		}
	}

	private void endLimits() throws Exception {
		this.servers.forEach((server) -> server.startNaming(0));
		this.load.run(RECOVERY_MILLIS);
		NoticeLoad recovered = new NoticeLoad(this.gateways, CALLERS_PER_GATEWAY);
		recovered.run(RECOVERED_MILLIS);
		System.out.printf("limits: served share %.3f after the end%n", recovered.servedShare());
		assertThat(recovered.servedShare()).as("served share after the end").isGreaterThanOrEqualTo(MIN_SERVED_SHARE);
	}

	@AfterEach
	void stop() throws IOException, InterruptedException {
		for (GatewayProcess gateway : this.gateways) {
			gateway.close();
		}
		for (LimitServer server : this.servers) {
			server.close();
		}
		this.store.close();
	}

}
