package org.rattanhead.daemon.gateway;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;

import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.rattanhead.adapter.standin.RawServer;
import org.rattanhead.adapter.standin.StoreStandin;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests how a gateway in a separate process handles signals.
 */
class GatewayProcessTests {

	@TempDir
	private Path folder;

	@ParameterizedTest(name = "{0}: alive after it: {1}")
	@CsvSource({ "HUP, true", "TERM, false" })
	void completesRequestInProgressOnSignal(String signal, boolean alive) throws Exception {
		try (StoreStandin store = new StoreStandin();
				RawServer instance = new RawServer((request) -> GatewayRig.signed(request, "late").delayedBy(800))) {
			GatewayRig.configure(store, 1, "");
			GatewayRig.register(store, 0, instance.address(), "ready");
			try (GatewayProcess process = new GatewayProcess(this.folder, "a", store.server().address())) {
				GatewayRig.await(() -> call(process.callersAddress(), "a1").endsWith("late"));
				try (RawCaller caller = new RawCaller(process.callersAddress())) {
					caller.send(RawCaller.request("GET", "/order/a", "a2", ""));
					GatewayRig.await(() -> instance.requests()
						.stream()
						.anyMatch((request) -> request.target().equals("/order/a")));
					process.signal(signal);
					assertThat(caller.answer()).endsWith("late");
				}
				assertThat(process.awaitExit()).isEqualTo(!alive);
				assertThat(process.log()).contains(alive ? "settings read again" : "every request has ended");
			}
		}
	}

	private static String call(InetSocketAddress address, String attempt) {
		try (RawCaller caller = new RawCaller(address)) {
			return caller.send(RawCaller.request("GET", "/look/a", attempt, "")).answer();
		}
		catch (IOException ex) {
			return "<" + ex.getMessage() + ">";
		}
	}

}
