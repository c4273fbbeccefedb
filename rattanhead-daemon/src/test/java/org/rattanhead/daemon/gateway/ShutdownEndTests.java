package org.rattanhead.daemon.gateway;

import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import org.rattanhead.adapter.CallerCodec;
import org.rattanhead.adapter.standin.RawServer;
import org.rattanhead.adapter.standin.StoreStandin;
import org.rattanhead.core.Payload;
import org.rattanhead.http.forward.ForwardFrontEnd;
import org.rattanhead.http.forward.ForwardSettings;
import org.rattanhead.http.forward.PageContent;
import org.rattanhead.http.forward.ServedPage;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * Requests that arrive while a gateway ends its shutdown.
 */
class ShutdownEndTests {

	private static final int KEPT_CONNECTIONS = 400;

	private static final long SEND_INTERVAL_MILLIS = 1;

	@TempDir
	private Path folder;

	/**
	 * Guards against LOST: a request that is read on a kept connection between the last
	 * check for open requests and the close of the connections.
	 */
	@ParameterizedTest(name = "from {0} ms after the signal")
	@ValueSource(longs = { 1_800, 1_900 })
	void answersEveryRequestThatIsRead(long afterMillis) throws Exception {
		Map<String, RawCaller> callers = new LinkedHashMap<>();
		try (StoreStandin store = new StoreStandin();
				RawServer instance = new RawServer((request) -> GatewayRig.signed(request, "x"));
				GatewayProcess process = new GatewayProcess(this.folder, "a", store.server().address())) {
			GatewayRig.configure(store, 1, "");
			GatewayRig.register(store, 0, instance.address(), "ready");
			GatewayRig.await(() -> call(process).endsWith("x"));
			for (int index = 0; index < KEPT_CONNECTIONS; index++) {
				callers.put("kept" + index + "-", new RawCaller(process.callersAddress()));
			}
			process.signal("TERM");
			TimeUnit.MILLISECONDS.sleep(afterMillis);
			for (Map.Entry<String, RawCaller> caller : callers.entrySet()) {
				sendUnlessClosed(caller.getValue(), RawCaller.request("GET", "/look/a", caller.getKey(), ""));
				TimeUnit.MILLISECONDS.sleep(SEND_INTERVAL_MILLIS);
			}
			assertThat(process.awaitExit()).isTrue();
			assertThat(callers.keySet())
				.filteredOn((attempt) -> !callers.get(attempt).allUntilEnd().startsWith("HTTP/1.1 "))
				.noneMatch(process.log()::contains);
		}
		finally {
			for (RawCaller caller : callers.values()) {
				caller.close();
			}
		}
	}

	/**
	 * Guards against LOST: a request that is read after the last check for open requests,
	 * and connections that are accepted while the server stops, and reset.
	 */
	@ParameterizedTest(name = "{0} {1}, kept connection: {2}")
	@CsvSource({ "GET, '', false", "GET, '', true", "POST, body, false", "POST, body, true" })
	void refusesRequestAfterLastCheck(String method, String body, boolean kept) throws Exception {
		InetSocketAddress address = GatewayRig.freeAddress();
		ServedPage page = new ServedPage(address, "/page", () -> new PageContent(200, "text/plain", Payload.of("x")));
		try (ForwardFrontEnd frontEnd = new ForwardFrontEnd("a",
				new ForwardSettings(address, 8_192, 8_192, 3_000, 3_000, 3_000), new CallerCodec(),
				(event, urgency) -> true, List.of(page));
				RawCaller caller = new RawCaller(address);
				RawCaller other = new RawCaller(address)) {
			// Connections are accepted in order, so the caller's is open afterwards.
			assertThat((kept ? caller : other).send(RawCaller.request("GET", "/page", "a0", "")).answer())
				.endsWith("x");
			assertThat(frontEnd.finish(1_000)).isTrue();
			frontEnd.stopAccepting();
			assertThatExceptionOfType(ConnectException.class).isThrownBy(() -> new RawCaller(address));
			assertThat(caller.send(RawCaller.request(method, "/look/a", "a1", body)).answer())
				.startsWith("HTTP/1.1 503")
				.contains("Connection: close");
		}
	}

	/**
	 * Guards against uploads that are closed without an answer while the grace period
	 * still lasts.
	 */
	@ParameterizedTest(name = "{0}, {1}: body completed: {2}")
	@CsvSource({ "/look/a, Content-Length: 8, false", "/order/a, Content-Length: 8, true",
			"/ask/a, Transfer-Encoding: chunked, false" })
	void refusesUploadInProgress(String path, String framing, boolean completed) throws Exception {
		try (GatewayRig rig = new GatewayRig(1, (request) -> GatewayRig.signed(request, "x"));
				RawCaller caller = rig.caller()) {
			CompletableFuture<Void> stopped = CompletableFuture.runAsync(rig.gateway::drain)
				.thenRun(rig.gateway::close);
			caller.send(RawCaller.request("POST", path, "a1", "", framing) + "4\r\na");
			TimeUnit.MILLISECONDS.sleep(1_100);
			if (completed) {
				caller.send("body");
			}
			assertThat(caller.answer()).startsWith("HTTP/1.1 503").doesNotContain("<closed>");
			stopped.get(2, TimeUnit.SECONDS);
			assertThat(rig.receivedRequests()).isEmpty();
		}
	}

	private static void sendUnlessClosed(RawCaller caller, String request) {
		try {
			caller.send(request);
		}
		catch (IOException ex) {
			// The gateway has closed the connection.
		}
	}

	private static String call(GatewayProcess process) {
		try (RawCaller caller = new RawCaller(process.callersAddress())) {
			return caller.send(RawCaller.request("GET", "/look/a", "first", "")).answer();
		}
		catch (IOException ex) {
			return "<" + ex.getMessage() + ">";
		}
	}

}
