package org.rattanhead.daemon.gateway;

import java.io.IOException;
import java.util.List;
import java.util.Locale;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import org.rattanhead.client.wire.ChunkedText;
import org.rattanhead.client.wire.WireReplies;
import org.rattanhead.client.wire.WireReply;
import org.rattanhead.client.wire.WireServer;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * A caller gets the answer of an instance if and only if what the instance sent is one.
 */
class AnswerFormTests {

	private static final List<WireReply> REPLIES = WireReplies.all().toList();

	private static final Pattern INDEX = Pattern.compile("/form-([0-9]+)-");

	private static final String EVENTS = "Content-Type: text/event-stream\r\n";

	private static final String PLAIN_BODY = "plain";

	private static WireServer instance;

	private static GatewayRig rig;

	@BeforeAll
	static void start() throws Exception {
		instance = new WireServer(AnswerFormTests::reply, AnswerFormTests::fields);
		rig = new GatewayRig(0, (request) -> null);
		GatewayRig.register(rig.store, 0, instance.address(), "ready");
	}

	@AfterAll
	static void stop() throws IOException {
		rig.close();
		instance.close();
	}

	static Stream<Arguments> answers() {
		return REPLIES.stream()
			.flatMap((reply) -> Stream.of("look", "order", "ask")
				.flatMap((route) -> Stream.of(false, true).map((kept) -> Arguments.of(reply, route, kept))));
	}

	/**
	 * Guards against MIXED: bytes that are no answer, or a part of one, passed on as an
	 * answer, and answers of unusual form that are lost.
	 */
	@ParameterizedTest(name = "{0}, route {1}, kept connections: {2}")
	@MethodSource("answers")
	void passesOnNothingButCompleteAnswers(WireReply reply, String route, boolean kept) throws Exception {
		try (RawCaller caller = rig.caller()) {
			if (kept) {
				assertThat(answer(caller, WireReplies.PLAIN, "/look/plain")).endsWith(PLAIN_BODY);
			}
			String answer = answer(caller, reply, "/" + route + "/form-" + REPLIES.indexOf(reply) + "-" + kept);
			if (reply.valid()) {
				assertThat(answer).startsWith("HTTP/1.1 " + reply.outcome().substring(0, 3))
					.contains("X-Response-Signature")
					.as("framing")
					.doesNotContainPattern(forbiddenFraming(reply));
				assertThat(body(answer)).isEqualTo(reply.outcome().substring(4));
				assertThat(answer(caller, WireReplies.PLAIN, "/look/plain")).as("the next answer").endsWith(PLAIN_BODY);
			}
			else {
				assertThat(answer).as("no answer")
					.matches((text) -> text.startsWith("HTTP/1.1 502") || isBrokenOff(text));
			}
		}
	}

	private static WireReply reply(String request) {
		Matcher matcher = INDEX.matcher(request);
		return matcher.find() ? REPLIES.get(Integer.parseInt(matcher.group(1))) : WireReplies.PLAIN;
	}

	/**
	 * Sends a request until the gateway passes it on.
	 * @param caller the caller
	 * @param reply what the instance sends
	 * @param path the path of the request
	 * @return the answer
	 * @throws Exception if the connection broke
	 */
	private static String answer(RawCaller caller, WireReply reply, String path) throws Exception {
		String[] answer = { "" };
		GatewayRig.await(() -> {
			answer[0] = send(caller, reply, path);
			return !answer[0].startsWith("HTTP/1.1 503");
		});
		return answer[0];
	}

	private static String send(RawCaller caller, WireReply reply, String path) {
		try {
			caller.send(RawCaller.request(reply.method(), path, "a1", ""));
			return (reply.method().equals("HEAD") || reply.outcome().startsWith("304")) ? caller.head()
					: caller.answer();
		}
		catch (IOException ex) {
			return "<" + ex.getMessage() + ">";
		}
	}

	private static String fields(String request) {
		String attempt = request.lines()
			.filter((line) -> line.toLowerCase(Locale.ROOT).startsWith("x-attempt-id:"))
			.findFirst()
			.orElseThrow();
		return attempt + "\r\nX-Response-Signature: s\r\n" + (request.contains(" /ask/") ? EVENTS : "");
	}

	/** RFC 9110, section 8.6, and RFC 9112, section 6.1. */
	private static Pattern forbiddenFraming(WireReply reply) {
		boolean describesOther = reply.method().equals("HEAD") || reply.outcome().startsWith("304");
		boolean none = reply.outcome().startsWith("204");
		return Pattern
			.compile("(?i)\r\n("
					+ (none ? "(content-length|transfer-encoding):"
							: describesOther ? "content-length: (?!15\r)" : "content-length:.*transfer-encoding:")
					+ ")", Pattern.DOTALL);
	}

	private static String body(String answer) {
		String body = answer.substring(answer.indexOf("\r\n\r\n") + 4);
		return (body.isEmpty() || !answer.contains("Transfer-Encoding: chunked")) ? body : ChunkedText.decode(body);
	}

	private static boolean isBrokenOff(String answer) {
		return answer.startsWith("HTTP/1.1 200") && answer.contains("Transfer-Encoding: chunked")
				&& answer.endsWith("<closed>") && !answer.contains("0\r\n\r\n");
	}

}
