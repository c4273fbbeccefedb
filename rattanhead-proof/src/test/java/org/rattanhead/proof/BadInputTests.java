package org.rattanhead.proof;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.stream.Stream;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import org.rattanhead.cli.demo.LocalCluster;
import org.rattanhead.client.HttpCall;
import org.rattanhead.client.HttpClient;
import org.rattanhead.client.HttpReply;
import org.rattanhead.core.HttpField;
import org.rattanhead.core.Payload;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * An invalid request is rejected with a problem document that names a remedy. No engine
 * receives work for it, and the daemon continues to serve.
 */
class BadInputTests {

	private static final JsonMapper MAPPER = new JsonMapper();

	private static final String CHAT = "/v1/chat/completions";

	private static final HttpField KEY = new HttpField("Authorization", "Bearer " + TestClusters.KEY);

	private static final HttpField UNKNOWN_KEY = new HttpField("Authorization", "Bearer wrong");

	private static LocalCluster cluster;

	private static HttpClient caller;

	@BeforeAll
	static void start() {
		cluster = TestClusters.start();
		caller = new HttpClient("test", 1);
	}

	@AfterAll
	static void stop() throws Exception {
		caller.close();
		cluster.close();
	}

	static Stream<Arguments> invalidRequests() {
		String good = body(TestClusters.MODEL, "hello");
		return Stream.of(row("malformed JSON", CHAT, "{bad", 400, "malformed-request", KEY),
				row("JSON array", CHAT, "[]", 400, "malformed-request", KEY),
				row("empty body", CHAT, "", 400, "malformed-request", KEY),
				row("trailing data after the object", CHAT, good + "{}", 400, "malformed-request", KEY),
				row("missing model", CHAT, "{\"messages\":[]}", 400, "malformed-request", KEY),
				row("missing messages", CHAT, "{\"model\":\"m\"}", 400, "malformed-request", KEY),
				row("numeric model", CHAT, "{\"model\":1,\"messages\":[]}", 400, "malformed-request", KEY),
				row("negative max_tokens", CHAT, good.replace("}]", "}],\"max_tokens\":-1"), 400, "malformed-request",
						KEY),
				row("unknown model", CHAT, body("other", "hello"), 404, "unknown-model", KEY),
				row("missing API key", CHAT, good, 401, "unauthorized"),
				row("unknown API key", CHAT, good, 401, "unauthorized", UNKNOWN_KEY),
				row("oversized body", CHAT, "x".repeat(16 * 1024 * 1024 + 1), 413, "body-too-large", KEY),
				row("prompt over any memory", CHAT, body(TestClusters.MODEL, "x".repeat(4 * 1_100_001)), 413,
						"prompt-too-long", KEY),
				row("non-numeric deadline", CHAT, good, 400, "invalid-deadline", KEY, timeout("soon")),
				row("negative deadline", CHAT, good, 400, "invalid-deadline", KEY, timeout("-5")),
				row("zero deadline", CHAT, good, 400, "invalid-deadline", KEY, timeout("0")),
				row("deadline of three years", CHAT, good, 400, "invalid-deadline", KEY, timeout("99999999999")),
				row("deadline of 40 digits", CHAT, good, 400, "invalid-deadline", KEY, timeout("9".repeat(40))),
				row("empty idempotency key", CHAT, good, 400, "malformed-request", KEY,
						new HttpField("Idempotency-Key", " ")),
				row("unknown path", "/v2/chat", good, 404, "unknown-path", KEY),
				row("wrong method", "/v1/models", good, 405, "method-not-allowed", KEY),
				row("unknown service", "/services/other/x", "{}", 404, "unknown-service", KEY),
				row("missing service name", "/services/", "{}", 404, "unknown-path", KEY),
				row("order without idempotency key", "/services/orders/orders", "{}", 400, "missing-idempotency-key",
						KEY));
	}

	@ParameterizedTest(name = "{0}")
	@MethodSource("invalidRequests")
	void rejectsWithProblemDocument(String name, String path, String body, int status, String type,
			List<HttpField> fields) throws IOException {
		long before = TestClusters.finished(cluster);
		HttpReply reply = caller.call(new HttpCall(address(), "POST", path, fields, Payload.of(body), 10_000)).join();
		assertProblem(reply, status, type);
		assertThat(TestClusters.finished(cluster)).isEqualTo(before);
		assertServesValidRequest();
	}

	@ParameterizedTest(name = "{0} of 100 bytes sent")
	@MethodSource("incompleteBodySizes")
	void rejectsIncompleteBodyAfterTimeout(int sent) throws IOException {
		RawReply reply = RawReply.send(address(),
				"POST " + CHAT + " HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\n" + "x".repeat(sent));
		assertThat(reply.text()).startsWith("HTTP/1.1 408").contains("slow-request", "not-run", "2000 ms");
		assertServesValidRequest();
	}

	static Stream<Integer> incompleteBodySizes() {
		return Stream.of(0, 1, 99);
	}

	private static void assertProblem(HttpReply reply, int status, String type) throws IOException {
		JsonNode problem = MAPPER.readTree(reply.body().bytes());
		assertThat(reply.status()).isEqualTo(status);
		assertThat(reply.head().field("Content-Type")).isEqualTo("application/problem+json");
		assertThat(problem.path("type").asText()).endsWith(":" + type);
		assertThat(problem.path("execution").asText()).isEqualTo("not-run");
		assertThat(problem.path("remedy").asText()).isNotBlank();
		assertThat(problem.path("detail").asText()).isNotBlank();
	}

	private static void assertServesValidRequest() {
		HttpReply reply = caller
			.call(new HttpCall(address(), "POST", CHAT, List.of(KEY),
					Payload.of(body(TestClusters.MODEL, "hello").replace("}]", "}],\"max_tokens\":2")), 10_000))
			.join();
		assertThat(reply.status()).isEqualTo(200);
	}

	private static InetSocketAddress address() {
		return cluster.addresses().get(0);
	}

	private static String body(String model, String prompt) {
		return "{\"model\":\"" + model + "\",\"messages\":[{\"role\":\"user\",\"content\":\"" + prompt + "\"}]}";
	}

	private static HttpField timeout(String value) {
		return new HttpField("X-Request-Timeout-Ms", value);
	}

	private static Arguments row(String name, String path, String body, int status, String type, HttpField... fields) {
		return Arguments.of(name, path, body, status, type, List.of(fields));
	}

}
