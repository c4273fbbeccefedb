package org.rattanhead.client.internal;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.stream.Stream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import org.rattanhead.client.HttpHead;
import org.rattanhead.client.wire.ChunkedText;
import org.rattanhead.client.wire.WireEnd;
import org.rattanhead.client.wire.WireReplies;
import org.rattanhead.client.wire.WireReply;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * A reader finds the same replies however their bytes arrive and are taken.
 */
class ReplyReaderTests {

	private static final String END_OF_HEAD = "\r\n\r\n";

	private static final String LAST_CHUNK = "0\r\n\r\n";

	private static final int LARGE = 16 * 1024;

	static Stream<Arguments> replies() {
		return Stream.concat(WireReplies.all(), WireReplies.tunnels())
			.filter((reply) -> reply.end() != WireEnd.RESETS)
			.flatMap((reply) -> Stream.of(Arguments.of(reply, 1, 1), Arguments.of(reply, 1, LARGE),
					Arguments.of(reply, LARGE, 1), Arguments.of(reply, 3, 7)));
	}

	/** Guards against MIXED: a fault that is only found if its bytes arrive at once. */
	@ParameterizedTest(name = "{0}, parts of {1} bytes, room for {2} bytes")
	@MethodSource("replies")
	void readsSameReplyInParts(WireReply reply, int sourceBytes, int targetBytes) {
		byte[] wire = reply.with("X-Attempt-Id: a1\r\n").getBytes(StandardCharsets.ISO_8859_1);
		ReplyReader reader = new ReplyReader();
		reader.begin(reply.method());
		StringBuilder rewritten = new StringBuilder();
		boolean invalid = false;
		try {
			for (int from = 0; from < wire.length && !reader.isComplete(); from += sourceBytes) {
				ByteBuffer source = ByteBuffer.wrap(wire, from, Math.min(sourceBytes, wire.length - from));
				drain(reader, source, targetBytes, rewritten);
			}
			reader.end();
			drain(reader, ByteBuffer.allocate(0), targetBytes, rewritten);
		}
		catch (MalformedReplyException ex) {
			invalid = true;
		}
		assertThat(invalid).isEqualTo(!reply.valid());
		if (reply.valid()) {
			int status = reader.takeHead().map(HttpHead::status).orElseThrow();
			assertThat(status + " " + body(rewritten.toString())).isEqualTo(reply.outcome());
		}
		else {
			assertThat(rewritten).as("the end of an invalid reply").doesNotContain("\r\n" + LAST_CHUNK);
		}
	}

	private static void drain(ReplyReader reader, ByteBuffer source, int targetBytes, StringBuilder rewritten)
			throws MalformedReplyException {
		ByteBuffer target = ByteBuffer.allocate(targetBytes);
		do {
			target.clear();
			try {
				reader.transfer(source, target);
			}
			finally {
				rewritten.append(StandardCharsets.ISO_8859_1.decode(target.flip()));
			}
		}
		while (target.limit() > 0);
	}

	private static String body(String rewritten) {
		int end = rewritten.indexOf(END_OF_HEAD);
		String body = rewritten.substring(end + END_OF_HEAD.length());
		return rewritten.substring(0, end).endsWith("chunked") ? ChunkedText.decode(body) : body;
	}

}
