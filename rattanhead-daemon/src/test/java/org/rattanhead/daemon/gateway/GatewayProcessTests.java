package org.rattanhead.daemon.gateway;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.rattanhead.daemon.DaemonMain;
import org.rattanhead.house.standin.RawServer;
import org.rattanhead.house.standin.StoreStandin;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * A gateway as a process of its own, and the signals that it is sent.
 */
class GatewayProcessTests {

	@TempDir
	private Path folder;

	@ParameterizedTest(name = "{0}: alive after it: {1}")
	@CsvSource({ "HUP, true", "TERM, false" })
	void obeysSignalsAndAnswersWhatRuns(String signal, boolean alive) throws Exception {
		try (StoreStandin store = new StoreStandin();
				RawServer instance = new RawServer((request) -> GatewayRig.signed(request, "late").after(800))) {
			GatewayRig.configure(store, 1, "");
			GatewayRig.register(store, 0, instance.address(), "ready");
			InetSocketAddress callers = free();
			Process process = start(store, callers);
			try {
				GatewayRig.await(() -> call(callers, "a1").endsWith("late"));
				try (RawCaller caller = new RawCaller(callers)) {
					caller.send(RawCaller.request("GET", "/order/a", "a2", ""));
					GatewayRig.await(() -> instance.requests()
						.stream()
						.anyMatch((request) -> request.target().equals("/order/a")));
					new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
					assertThat(caller.answer()).endsWith("late");
				}
				assertThat(process.waitFor(8, TimeUnit.SECONDS)).isEqualTo(!alive);
				assertThat(Files.readString(this.folder.resolve("out")))
					.contains(alive ? "settings read again" : "every request has ended");
			}
			finally {
				process.destroyForcibly();
			}
		}
	}

	private Process start(StoreStandin store, InetSocketAddress callers) throws IOException {
		Path settings = Files.writeString(this.folder.resolve("gateway.ini"), """
				[gateway]
				host = a
				callers = 127.0.0.1:%d
				ready = 127.0.0.1:%d
				directory = 127.0.0.1:%d
				mesh = 127.0.0.1:%d
				metrics = 127.0.0.1:%d
				[platform]
				store = 127.0.0.1:%d
				[limits]
				retry-ratio = 0.2
				retry-slack = 100
				retry-window = 10s
				max-hold = 20s
				shutdown-grace = 4s
				""".formatted(callers.getPort(), free().getPort(), free().getPort(), free().getPort(), free().getPort(),
				store.server().address().getPort()));
		String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
		return new ProcessBuilder(List.of(java, "-Xmx194m", "-cp", System.getProperty("java.class.path"),
				DaemonMain.class.getName(), "--settings", settings.toString()))
			.redirectOutput(this.folder.resolve("out").toFile())
			.redirectError(this.folder.resolve("err").toFile())
			.start();
	}

	private static String call(InetSocketAddress callers, String attempt) {
		try (RawCaller caller = new RawCaller(callers)) {
			return caller.send(RawCaller.request("GET", "/look/a", attempt, "")).answer();
		}
		catch (IOException ex) {
			return "<" + ex.getMessage() + ">";
		}
	}

	private static InetSocketAddress free() throws IOException {
		try (ServerSocket socket = new ServerSocket(0)) {
			return new InetSocketAddress("127.0.0.1", socket.getLocalPort());
		}
	}

}
