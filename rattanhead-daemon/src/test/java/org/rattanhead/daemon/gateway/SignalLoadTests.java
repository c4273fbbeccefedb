package org.rattanhead.daemon.gateway;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.rattanhead.adapter.standin.RawAnswer;
import org.rattanhead.adapter.standin.RawRequest;
import org.rattanhead.adapter.standin.RawServer;
import org.rattanhead.adapter.standin.StoreStandin;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Several signals to a gateway in a separate process, under load on kept connections.
 */
class SignalLoadTests {

	private static final int CALLERS = 24;

	/** Long enough that the log has a line for every request. */
	private static final long RETRY_INTERVAL_MILLIS = 100;

	private static final long SIGNAL_INTERVAL_MILLIS = 100;

	private static final List<String> PATHS = List.of("/look/", "/order/", "/ask/");

	@TempDir
	private Path folder;

	private final Set<String> unanswered = ConcurrentHashMap.newKeySet();

	private volatile boolean ended;

	/**
	 * Guards against LOST: a request that has been read and that ends without an answer
	 * after signals that overlap.
	 */
	@ParameterizedTest(name = "signals {0}, settings file {1}")
	@CsvSource({ "TERM TERM, KEPT", "TERM HUP INT HUP TERM, DEBUG", "HUP HUP HUP TERM, KEPT", "INT TERM, BINARY",
			"HUP TERM, TRUNCATED", "HUP TERM, MISSING" })
	void answersEveryRequestThatIsRead(String signals, SettingsChange change) throws Exception {
		List<CompletableFuture<Void>> callers = new ArrayList<>();
		try (StoreStandin store = new StoreStandin();
				RawServer instance = new RawServer(SignalLoadTests::answer);
				GatewayProcess process = new GatewayProcess(this.folder, "a", store.server().address())) {
			GatewayRig.configure(store, 1, "");
			GatewayRig.register(store, 0, instance.address(), "ready");
			GatewayRig.await(() -> answers(process));
			for (int index = 0; index < CALLERS; index++) {
				String name = "caller" + index + "-";
				callers.add(CompletableFuture.runAsync(() -> callUntilEnd(process, name),
						(task) -> new Thread(task, name).start()));
			}
			TimeUnit.MILLISECONDS.sleep(SIGNAL_INTERVAL_MILLIS);
			change.apply(process.settings());
			for (String signal : signals.split(" ")) {
				process.signal(signal);
				TimeUnit.MILLISECONDS.sleep(SIGNAL_INTERVAL_MILLIS);
			}
			boolean exited = process.awaitExit();
			this.ended = true;
			CompletableFuture.allOf(callers.toArray(CompletableFuture[]::new)).get(10, TimeUnit.SECONDS);
			assertThat(exited).isTrue();
			assertThat(process.log()).contains("every request has ended")
				.doesNotContain("Exception in thread", "log-limit", "RejectedExecutionException");
			String log = process.log();
			assertThat(this.unanswered).noneMatch((attempt) -> log.contains(attempt)
					|| instance.requests().stream().anyMatch((request) -> request.target().endsWith(attempt)));
		}
	}

	private void callUntilEnd(GatewayProcess process, String name) {
		int sent = 0;
		while (!this.ended && process.isAlive()) {
			try (RawCaller caller = new RawCaller(process.callersAddress())) {
				boolean kept = true;
				while (kept) {
					sent++;
					String attempt = name + sent + "-";
					this.unanswered.add(attempt);
					String answer = caller
						.send(RawCaller.request("POST", PATHS.get(sent % PATHS.size()) + attempt, attempt, "body"))
						.answer();
					kept = !answer.contains("Connection: close") && !answer.endsWith("<closed>");
					if (answer.startsWith("HTTP/1.1 ") && !answer.endsWith("<closed>")) {
						this.unanswered.remove(attempt);
					}
				}
			}
			catch (IOException ex) {
				// The connection was refused or has ended; the request stays unanswered.
			}
			pause();
		}
	}

	private static void pause() {
		try {
			TimeUnit.MILLISECONDS.sleep(RETRY_INTERVAL_MILLIS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private static boolean answers(GatewayProcess process) {
		try (RawCaller caller = new RawCaller(process.callersAddress())) {
			return caller.send(RawCaller.request("GET", "/look/a", "first", "")).answer().endsWith("x");
		}
		catch (IOException ex) {
			return false;
		}
	}

	private static RawAnswer answer(RawRequest request) {
		return GatewayRig.signed(request, "x").delayedBy(Math.floorMod(request.target().hashCode(), 200));
	}

	private enum SettingsChange {

		KEPT, TRUNCATED, MISSING, BINARY, DEBUG;

		void apply(Path settings) throws IOException {
			byte[] content = Files.readAllBytes(settings);
			switch (this) {
				case TRUNCATED -> Files.write(settings, Arrays.copyOf(content, content.length / 2));
				case MISSING -> Files.delete(settings);
				case BINARY -> Files.write(settings, new byte[] { (byte) 0xff, 0, '[', (byte) 0x80, '\n', '=' });
				case DEBUG -> Files.writeString(settings, Files.readString(settings) + "[logs]\nlevel = debug\n");
				default -> {
				}
			}
		}

	}

}
