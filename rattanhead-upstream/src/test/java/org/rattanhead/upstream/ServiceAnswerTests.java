package org.rattanhead.upstream;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import org.rattanhead.client.HttpClient;
import org.rattanhead.client.wire.WireReplies;
import org.rattanhead.client.wire.WireReply;
import org.rattanhead.client.wire.WireServer;
import org.rattanhead.core.Payload;
import org.rattanhead.core.catalogue.UpstreamEntry;
import org.rattanhead.core.request.AttemptId;
import org.rattanhead.core.request.RequestId;
import org.rattanhead.core.request.Target;
import org.rattanhead.core.request.TargetKind;
import org.rattanhead.core.request.UpstreamCall;
import org.rattanhead.core.request.Work;
import org.rattanhead.core.work.WorkChunk;
import org.rattanhead.core.work.WorkEnded;
import org.rattanhead.core.work.WorkFailed;
import org.rattanhead.core.work.WorkSignal;
import org.rattanhead.core.work.WorkStarted;
import org.rattanhead.decision.holder.CallUpstream;
import org.rattanhead.decision.holder.HolderEvent;
import org.rattanhead.decision.holder.UpstreamSignal;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Answers of plain services, which carry no id of their own.
 */
class ServiceAnswerTests {

	private static final long TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(5);

	static Stream<WireReply> replies() {
		return WireReplies.all();
	}

	/**
	 * Guards against MIXED: bytes that are no answer, or a part of one, passed on as the
	 * answer of a service, and answers of unusual form that are lost.
	 */
	@ParameterizedTest(name = "{0}")
	@MethodSource("replies")
	void passesOnNothingButCompleteAnswers(WireReply reply) throws Exception {
		BlockingQueue<HolderEvent> events = new LinkedBlockingQueue<>();
		try (WireServer server = new WireServer((request) -> reply, (request) -> "X-A: b\r\n");
				HttpClient caller = new HttpClient("test", 1);
				UpstreamDuty duty = new UpstreamDuty(caller, (event, urgency) -> events.add(event), (name) -> {
				})) {
			UpstreamEntry service = new UpstreamEntry("s", "o", "d", "", "service",
					"127.0.0.1:" + server.address().getPort(), 1, 1, 1, false);
			Work work = new Work(new AttemptId(new RequestId("r"), 1), "w", new Target(TargetKind.SERVICE, "service"),
					new UpstreamCall(reply.method(), "/", "", true, Payload.EMPTY), 0, 1, 1,
					System.nanoTime() + TIMEOUT_NANOS, "");
			duty.call(new CallUpstream(service, work));
			assertThat(outcome(events)).isEqualTo(reply.outcome());
		}
	}

	private static String outcome(BlockingQueue<HolderEvent> events) throws InterruptedException {
		StringBuilder outcome = new StringBuilder();
		while (true) {
			WorkSignal signal = ((UpstreamSignal) events.poll(TIMEOUT_NANOS, TimeUnit.NANOSECONDS)).signal();
			if (signal instanceof WorkStarted start) {
				outcome.append(start.status()).append(' ');
			}
			else if (signal instanceof WorkChunk chunk) {
				outcome.append(chunk.bytes().text());
			}
			else if (signal instanceof WorkEnded) {
				return outcome.toString();
			}
			else if (signal instanceof WorkFailed) {
				return WireReply.INVALID;
			}
		}
	}

}
