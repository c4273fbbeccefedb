package org.rattanhead.daemon.gateway;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import org.rattanhead.adapter.standin.StoreStandin;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Signals that reach a gateway in a separate process while it starts.
 */
class StartSignalTests {

	private static final long START_TIMEOUT_SECONDS = 8;

	private static final long CONNECT_INTERVAL_MILLIS = 1;

	@TempDir
	private Path folder;

	/**
	 * Guards against LOST: a request that is accepted at the start of a process and cut
	 * by a signal that comes before the process handles signals.
	 */
	@ParameterizedTest(name = "{0} as soon as callers can connect")
	@ValueSource(strings = { "TERM", "HUP" })
	void answersRequestAcceptedBeforeSignal(String signal) throws Exception {
		try (StoreStandin store = new StoreStandin();
				GatewayProcess process = new GatewayProcess(this.folder, "a", store.server().address());
				RawCaller caller = connect(process.callersAddress())) {
			caller.send(RawCaller.request("GET", "/look/a", "a1", ""));
			process.signal(signal);
			assertThat(caller.answer()).startsWith("HTTP/1.1 ").doesNotContain("<closed>");
			assertThat(process.awaitExit()).isEqualTo(signal.equals("TERM"));
		}
	}

	private static RawCaller connect(InetSocketAddress address) throws IOException, InterruptedException {
		long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(START_TIMEOUT_SECONDS);
		while (true) {
			try {
				return new RawCaller(address);
			}
			catch (IOException ex) {
				if (System.nanoTime() > endNanos) {
					throw ex;
				}
				TimeUnit.MILLISECONDS.sleep(CONNECT_INTERVAL_MILLIS);
			}
		}
	}

}
