package org.rattanhead.daemon.gateway;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import java.util.stream.Stream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

import org.rattanhead.adapter.standin.RawAnswer;
import org.rattanhead.adapter.standin.RawRequest;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * End-to-end tests of a gateway: the requests that instances receive and the answers that
 * callers get while instances or the store fail.
 */
class GatewayEndToEndTests {

	/**
	 * Guards against RECOVER: requests of a stranded gateway that this one cannot read.
	 */
	@ParameterizedTest(name = "{0} {1}: {2}")
	@CsvSource({ "GET, /look/a?b=1, 200", "POST, /order/a, 200", "GET, /none/a, 404" })
	void answersRequestsThatAnotherGatewayPassesOn(String method, String path, int status) throws Exception {
		try (GatewayRig rig = new GatewayRig(1, (request) -> GatewayRig.signed(request, "the answer"));
				RawCaller relay = rig.relay()) {
			String answer = relay.send(RawCaller.request(method, path, "a1", "")).answer();
			assertThat(answer).startsWith("HTTP/1.1 " + status);
			assertThat(rig.receivedRequests()).hasSize((status == 200) ? 1 : 0)
				.allMatch((request) -> request.header("X-Tenant").equals("atelier"));
		}
	}

	@ParameterizedTest(name = "{0} {1}")
	@CsvSource({ "GET, /look/a?b=1, ''", "POST, /order/a%20b, body", "POST, /look/a, body" })
	void forwardsRequestAndAnswerUnchanged(String method, String path, String body) throws Exception {
		try (GatewayRig rig = new GatewayRig(1, (request) -> GatewayRig.signed(request, "the answer"))) {
			String answer = rig.call(RawCaller.request(method, path, "a1", body, "X-Tenant: forged", "X-Own: 1"));
			assertThat(answer).startsWith("HTTP/1.1 200").contains("X-Response-Signature: s").endsWith("the answer");
			RawRequest received = rig.receivedRequests().get(0);
			assertThat(received.method() + " " + received.target()).isEqualTo(method + " " + path);
			assertThat(new String(received.body())).isEqualTo(body);
			assertThat(received.header("X-Tenant")).isEqualTo("atelier");
			assertThat(received.header("X-Own")).isEqualTo("1");
			assertThat(received.header("Authorization")).isEmpty();
			assertThat(received.header("X-Expect-Instance")).isEqualTo("i-0");
			assertThat(Integer.parseInt(received.header("X-Deadline-Remaining-Ms"))).isBetween(3_000, 4_000);
		}
	}

	static Stream<Arguments> faultyAnswers() {
		Function<RawRequest, RawAnswer> complete = (request) -> GatewayRig.signed(request, "x".repeat(100));
		return Stream.of(
				Arguments.of("truncated",
						(Function<RawRequest, RawAnswer>) (request) -> complete.apply(request).truncated(9)),
				Arguments.of("none", (Function<RawRequest, RawAnswer>) (request) -> RawAnswer.connectionClose()),
				Arguments.of("garbage",
						(Function<RawRequest, RawAnswer>) (request) -> new RawAnswer("no answer\r\n\r\n".getBytes(),
								true, 0)),
				Arguments.of("crossed",
						(Function<RawRequest, RawAnswer>) (request) -> RawAnswer.of(200,
								List.of("X-Attempt-Id: other", "X-Response-Signature: s"), "of another")),
				Arguments.of("unsigned", (Function<RawRequest, RawAnswer>) (request) -> RawAnswer.of(200,
						List.of("X-Attempt-Id: " + request.header("X-Attempt-Id")), "of nobody")));
	}

	@ParameterizedTest(name = "{0}")
	@MethodSource("faultyAnswers")
	void retriesLookupButNotOrder(String name, Function<RawRequest, RawAnswer> faulty) throws Exception {
		AtomicInteger calls = new AtomicInteger();
		try (GatewayRig rig = new GatewayRig(2, (request) -> (calls.getAndIncrement() == 0) ? faulty.apply(request)
				: GatewayRig.signed(request, "right"))) {
			assertThat(rig.call(RawCaller.request("GET", "/look/a", "a1", ""))).endsWith("right");
			calls.set(0);
			String orderAnswer = rig.call(RawCaller.request("POST", "/order/a", "a2", "body"));
			assertThat(orderAnswer).startsWith("HTTP/1.1 502").doesNotContain("Signature");
			assertThat(rig.receivedRequests()).filteredOn((request) -> request.target().equals("/order/a")).hasSize(1);
		}
	}

	@ParameterizedTest(name = "trailing bytes: {0}")
	@ValueSource(strings = { "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-Response-Signature: s\r\n\r\nextra", "junk" })
	void discardsBytesAfterAnswer(String trailing) throws Exception {
		try (GatewayRig rig = new GatewayRig(1,
				(request) -> GatewayRig.signed(request, "first").followedBy(trailing))) {
			for (int call = 0; call < 6; call++) {
				String answer = rig.call(RawCaller.request("GET", "/look/a", "a" + call, ""));
				assertThat(answer).doesNotContain("extra").doesNotContain("junk");
			}
		}
	}

	@ParameterizedTest(name = "{0}, copy {1}: {2}")
	@CsvSource({ "/look/a, with the id of another attempt, X-Attempt-Id: other",
			"/look/a, without an id, X-Content: copy", "/ask/a, with the id of another attempt, X-Attempt-Id: other",
			"/ask/a, without an id, X-Content: copy" })
	void discardsLateCopyBeforeTheAnswer(String path, String what, String header) throws Exception {
		RawAnswer copy = RawAnswer.of(200, List.of(header, "X-Response-Signature: s"), "copy of another");
		AtomicInteger calls = new AtomicInteger();
		try (GatewayRig rig = new GatewayRig(2, (request) -> {
			RawAnswer right = GatewayRig.signed(request, "right");
			return (calls.incrementAndGet() == 3) ? copy.followedBy(new String(right.bytes())) : right;
		})) {
			for (int call = 0; call < 6; call++) {
				assertThat(rig.call(RawCaller.request("GET", path, "a" + call, ""))).endsWith("right")
					.doesNotContain("copy of another");
			}
		}
	}

	@ParameterizedTest(name = "{0}")
	@ValueSource(strings = { "/look/a", "/ask/a", "/order/a" })
	void endsCallWithoutRetryWhenCallerDisconnects(String path) throws Exception {
		try (GatewayRig rig = new GatewayRig(1, (request) -> GatewayRig.signed(request, "late").delayedBy(1_500))) {
			try (RawCaller caller = rig.caller()) {
				caller.send(RawCaller.request("POST", path, "a1", "body"));
				GatewayRig.await(() -> rig.receivedRequests().size() == 1);
			}
			TimeUnit.MILLISECONDS.sleep(1_000);
			assertThat(rig.receivedRequests()).as("calls, without a retry after the caller disconnected").hasSize(1);
			assertThat(rig.gateway.openCalls()).isZero();
		}
	}

	@ParameterizedTest(name = "{0} callers")
	@ValueSource(ints = { 8 })
	void spendsNoProcessorTimeOnIdleConnections(int callers) throws Exception {
		try (GatewayRig rig = new GatewayRig(1, (request) -> GatewayRig.signed(request, "ok"))) {
			List<RawCaller> openCallers = new ArrayList<>();
			for (int caller = 0; caller < callers; caller++) {
				openCallers.add(rig.caller());
				for (int call = 0; call < 3; call++) {
					assertThat(
							openCallers.get(caller).send(RawCaller.request("GET", "/look/a", "a" + call, "")).answer())
						.endsWith("ok");
				}
			}
			Map<Long, Long> before = processorTimeNanos();
			TimeUnit.MILLISECONDS.sleep(1_000);
			long usedNanos = processorTimeNanos().entrySet()
				.stream()
				.mapToLong((thread) -> Math.max(0, thread.getValue() - before.getOrDefault(thread.getKey(), 0L)))
				.sum();
			assertThat(usedNanos).as("processor time of the threads in a second without requests")
				.isLessThan(TimeUnit.MILLISECONDS.toNanos(150));
			for (RawCaller caller : openCallers) {
				caller.close();
			}
		}
	}

	@ParameterizedTest(name = "{0} pipelined requests")
	@ValueSource(ints = { 3 })
	void answersPipelinedRequestsInOrder(int requests) throws Exception {
		try (GatewayRig rig = new GatewayRig(1,
				(request) -> GatewayRig.signed(request, request.header("X-Attempt-Id")).delayedBy(50));
				RawCaller caller = rig.caller()) {
			for (int request = 0; request < requests; request++) {
				caller.send(RawCaller.request("GET", "/look/a", "a" + request, ""));
				TimeUnit.MILLISECONDS.sleep(10);
			}
			for (int request = 0; request < requests; request++) {
				assertThat(caller.answer()).endsWith("a" + request);
			}
		}
	}

	/**
	 * Returns the processor time that each thread has used. The threads of the virtual
	 * machine are not among them: its compiler may use 300 ms a second after the
	 * requests.
	 * @return nanoseconds by thread id
	 */
	private static Map<Long, Long> processorTimeNanos() {
		ThreadMXBean threads = ManagementFactory.getThreadMXBean();
		Map<Long, Long> used = new HashMap<>();
		for (long thread : threads.getAllThreadIds()) {
			used.put(thread, Math.max(0, threads.getThreadCpuTime(thread)));
		}
		return used;
	}

	@ParameterizedTest(name = "{0}")
	@ValueSource(
			strings = { "Content-Length: 4\r\nContent-Length: 5", "Transfer-Encoding: chunked\r\nContent-Length: 4",
					"Transfer-Encoding: identity", "Transfer-Encoding: chunked, chunked" })
	void refusesAmbiguousFraming(String framing) throws Exception {
		try (GatewayRig rig = new GatewayRig(1, (request) -> GatewayRig.signed(request, "ok"))) {
			String answer = rig
				.call("POST /order/a HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a\r\nAuthorization: Bearer k1\r\n" + framing
						+ "\r\n\r\n0\r\n\r\nGET /look/smuggled HTTP/1.1\r\nHost: h\r\n\r\n");
			assertThat(answer).startsWith("HTTP/1.1 400");
			assertThat(rig.receivedRequests()).isEmpty();
		}
	}

	@ParameterizedTest(name = "{0}: {1}")
	@CsvSource({ "/none/a, 404", "/look/a, 401" })
	void refusesUnknownPathAndUnknownKey(String path, int status) throws Exception {
		try (GatewayRig rig = new GatewayRig(1, (request) -> GatewayRig.signed(request, "ok"))) {
			String answer = rig
				.call("GET " + path + " HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a\r\nAuthorization: Bearer x\r\n\r\n");
			assertThat(answer).startsWith("HTTP/1.1 " + status);
		}
	}

	@ParameterizedTest(name = "{0}")
	@ValueSource(ints = { 503, 429 })
	void servesDuringStoreOutageAndReloadsConfigurationAfterwards(int status) throws Exception {
		try (GatewayRig rig = new GatewayRig(2, (request) -> GatewayRig.signed(request, "ok"))) {
			rig.store.server().setScript((request) -> RawAnswer.of(status, List.of(), ""));
			TimeUnit.MILLISECONDS.sleep(1_500);
			assertThat(rig.call(RawCaller.request("GET", "/look/a", "a1", ""))).endsWith("ok");
			rig.configure(2, ",{'Host':'h','PathPrefix':'/new/','Kind':'idempotent','TimeoutMs':4000,'Service':'s'}");
			rig.store.server().setScript(rig.store::serve);
			GatewayRig.await(() -> rig.call(RawCaller.request("GET", "/new/a", "a2", "")).endsWith("ok"));
		}
	}

	@ParameterizedTest(name = "{0}")
	@ValueSource(strings = { "draining" })
	void sendsNoRequestToDrainingInstance(String state) throws Exception {
		try (GatewayRig rig = new GatewayRig(2, (request) -> GatewayRig.signed(request, "ok"))) {
			rig.register(0, state);
			TimeUnit.MILLISECONDS.sleep(1_500);
			int before = rig.instances.get(0).requests().size();
			for (int call = 0; call < 10; call++) {
				rig.call(RawCaller.request("GET", "/look/a", "a" + call, ""));
			}
			assertThat(rig.instances.get(0).requests()).hasSize(before);
		}
	}

	@ParameterizedTest(name = "{0} requests in progress")
	@ValueSource(ints = { 0, 1 })
	void reportsNotReadyAndCompletesRequestsWhileDraining(int requests) throws Exception {
		try (GatewayRig rig = new GatewayRig(1, (request) -> GatewayRig.signed(request, "late").delayedBy(600))) {
			assertThat(rig.directory()).contains("Addresses").contains("127.0.0.1");
			try (RawCaller caller = rig.caller()) {
				if (requests > 0) {
					caller.send(RawCaller.request("GET", "/order/a", "a1", ""));
					GatewayRig.await(() -> rig.receivedRequests().size() == 1);
				}
				rig.gateway.drain();
				assertThat(rig.readiness()).startsWith("HTTP/1.1 503");
				assertThat(rig.directory()).startsWith("HTTP/1.1 503");
				if (requests > 0) {
					assertThat(caller.answer()).endsWith("late").contains("Connection: close");
				}
			}
		}
	}

}
