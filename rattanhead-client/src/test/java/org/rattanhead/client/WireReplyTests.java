package org.rattanhead.client;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

import org.rattanhead.client.wire.WireEnd;
import org.rattanhead.client.wire.WireReplies;
import org.rattanhead.client.wire.WireReply;
import org.rattanhead.client.wire.WireServer;
import org.rattanhead.core.Payload;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * A call returns a reply if and only if what the server sent is one.
 */
class WireReplyTests {

	private static final long TIMEOUT_MILLIS = 3_000;

	private static final String PLAIN = WireReplies.PLAIN.outcome();

	/** More than the delay of the copy. */
	private static final long COPY_DELAY_MILLIS = 150;

	private static final String SPECIAL_PATH = "/special";

	static Stream<Arguments> replies() {
		return Stream.concat(WireReplies.all(), WireReplies.tunnels())
			.flatMap((reply) -> Stream.of(false, true).map((kept) -> Arguments.of(reply, kept)));
	}

	/**
	 * Guards against MIXED: bytes that are no reply, or a part of one, returned as a
	 * reply, and replies of unusual form that are lost.
	 */
	@ParameterizedTest(name = "{0}, kept connection: {1}")
	@MethodSource("replies")
	void returnsNothingButCompleteReplies(WireReply reply, boolean kept) throws Exception {
		try (WireServer server = new WireServer((request) -> request.contains(SPECIAL_PATH) ? reply : WireReplies.PLAIN,
				(request) -> "X-Attempt-Id: a1\r\n"); HttpClient client = new HttpClient("test", 1)) {
			if (kept) {
				assertThat(call(client, server, "GET", "/")).isEqualTo(PLAIN);
			}
			assertThat(call(client, server, reply.method(), SPECIAL_PATH)).as(reply.name())
				.isEqualTo(reply.valid() ? reply.outcome() : CallFailure.BROKEN.name());
			assertThat(server.connectionCount()).isEqualTo(1);
			assertThat(call(client, server, "GET", "/")).as("the next call").isEqualTo(PLAIN);
		}
	}

	/**
	 * Guards against MIXED: a late copy of a reply, returned for the next call on the
	 * connection.
	 */
	@ParameterizedTest(name = "{0}")
	@ValueSource(
			strings = { "Content-Length: 4\r\n\r\nlate", "Transfer-Encoding: chunked\r\n\r\n4\r\nlate\r\n0\r\n\r\n" })
	void returnsNoCopyThatArrivesBetweenCalls(String end) throws Exception {
		WireReply repeated = new WireReply("repeated", "GET", "HTTP/1.1 200 OK\r\n" + end, WireEnd.REPEATS, "200 late");
		try (WireServer server = new WireServer(
				(request) -> request.contains(SPECIAL_PATH) ? repeated : WireReplies.PLAIN, (request) -> "");
				HttpClient client = new HttpClient("test", 1)) {
			for (int index = 0; index < 3; index++) {
				assertThat(call(client, server, "GET", SPECIAL_PATH)).isEqualTo(repeated.outcome());
				TimeUnit.MILLISECONDS.sleep(COPY_DELAY_MILLIS);
				assertThat(call(client, server, "GET", "/")).isEqualTo(PLAIN);
			}
		}
	}

	private static String call(HttpClient client, WireServer server, String method, String path) throws Exception {
		HttpCall call = new HttpCall(server.address(), method, path, List.of(), Payload.EMPTY, TIMEOUT_MILLIS);
		return CallOutcome.of(client, call);
	}

}
