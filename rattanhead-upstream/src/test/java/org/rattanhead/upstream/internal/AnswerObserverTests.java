package org.rattanhead.upstream.internal;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.stream.Stream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

import org.rattanhead.client.CallFailure;
import org.rattanhead.client.HttpHead;
import org.rattanhead.core.HttpField;
import org.rattanhead.core.Payload;
import org.rattanhead.core.catalogue.UpstreamEntry;
import org.rattanhead.core.problem.Execution;
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
import org.rattanhead.decision.holder.UpstreamSignal;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link AnswerObserver}.
 */
class AnswerObserverTests {

	private static final String EVENT = "data: {\"object\":\"x\",\"id\":\"chatcmpl-r.1\",\"choices\":[]}\n\n";

	private static final String DONE = "data: [DONE]\n\n";

	private final List<UpstreamSignal> signals = new ArrayList<>();

	private final AtomicInteger crossed = new AtomicInteger();

	private boolean ringHasRoom = true;

	private final AnswerObserver observer = observer("");

	private AnswerObserver observer(String idempotencyKey) {
		UpstreamEntry upstream = new UpstreamEntry("e", "o", "d", "m", "", "127.0.0.1:1", 1, 1, 1, false);
		Work work = new Work(new AttemptId(new RequestId("r"), 1), "w", new Target(TargetKind.MODEL, "m"),
				new UpstreamCall("POST", "/", "", true, Payload.EMPTY), 0, 1, 1, 0, idempotencyKey);
		return new AnswerObserver(upstream, work, (event, urgency) -> {
			if (this.ringHasRoom) {
				this.signals.add((UpstreamSignal) event);
			}
			return this.ringHasRoom;
		}, (name) -> this.crossed.incrementAndGet(), () -> {
		});
	}

	private void receiveHead(int status, String contentType, String echo) {
		this.observer.onHead(new HttpHead(status,
				List.of(new HttpField("Content-Type", contentType), new HttpField("X-Request-Id", echo))));
	}

	private String receivedText() {
		StringBuilder text = new StringBuilder();
		this.signals.stream()
			.map(UpstreamSignal::signal)
			.filter(WorkChunk.class::isInstance)
			.forEach((chunk) -> text.append(((WorkChunk) chunk).bytes().text()));
		return text.toString();
	}

	private WorkSignal lastSignal() {
		return this.signals.get(this.signals.size() - 1).signal();
	}

	@ParameterizedTest(name = "parts of {0} bytes")
	@ValueSource(ints = { 1, 2, 7, 64, 10_000 })
	void passesOnEventsUnchanged(int partLength) {
		receiveHead(200, "text/event-stream", "r.1");
		String answer = EVENT + EVENT + EVENT + DONE;
		for (int from = 0; from < answer.length(); from += partLength) {
			this.observer.onBytes(Payload.of(answer.substring(from, Math.min(answer.length(), from + partLength))));
		}
		this.observer.onEnd();
		assertThat(receivedText()).isEqualTo(answer);
		assertThat(this.signals.get(0).signal()).isInstanceOf(WorkStarted.class);
		assertThat(lastSignal()).isInstanceOf(WorkEnded.class);
	}

	static Stream<Arguments> faults() {
		return Stream.of(
				Arguments.of("header of another request", 1,
						consumer((test) -> test.receiveHead(200, "text/event-stream", "q.1"))),
				Arguments.of("header of another attempt", 1,
						consumer((test) -> test.receiveHead(200, "text/event-stream", "r.2"))),
				Arguments.of("no attempt header", 1,
						consumer((test) -> test.receiveHead(200, "text/event-stream", ""))),
				Arguments.of("event of another request", 1,
						consumer((test) -> test.receiveStream(EVENT.replace("r.1", "q.1")))),
				Arguments.of("no end marker", 0, consumer((test) -> test.receiveStream(EVENT))),
				Arguments.of("incomplete event after the end marker", 0,
						consumer((test) -> test.receiveStream(EVENT + DONE + "da"))),
				Arguments.of("event after the end marker", 0,
						consumer((test) -> test.receiveStream(EVENT + DONE + EVENT))),
				Arguments.of("second end marker", 0, consumer((test) -> test.receiveStream(EVENT + DONE + DONE))),
				Arguments.of("text behind the end marker", 0,
						consumer((test) -> test.receiveStream(EVENT + "data: [DONE]x\n\n"))),
				Arguments.of("an event that is not JSON", 0, consumer((test) -> test.receiveStream("data: {\n\n"))),
				Arguments.of("an event without an id", 0, consumer((test) -> test.receiveStream("data: {}\n\n"))),
				Arguments.of("JSON answer of another request", 1,
						consumer((test) -> test.receiveJson("{\"id\":\"c-q.1\"}"))),
				Arguments.of("truncated JSON answer", 0, consumer((test) -> test.receiveJson("{\"object\":"))),
				Arguments.of("server error", 0, consumer((test) -> test.receiveStatus(500))));
	}

	@ParameterizedTest(name = "{0}")
	@MethodSource("faults")
	void reportsFaultyAnswerAsFailed(String name, int crossedAnswers, Consumer<AnswerObserverTests> fault) {
		fault.accept(this);
		assertThat(lastSignal()).isInstanceOf(WorkFailed.class);
		assertThat(this.signals.stream().filter((signal) -> signal.signal() instanceof WorkFailed)).hasSize(1);
		assertThat(((WorkFailed) lastSignal()).problem().execution()).isNotEqualTo(Execution.NOT_RUN);
		assertThat(this.crossed.get()).isEqualTo(crossedAnswers);
	}

	@ParameterizedTest(name = "status {0}")
	@ValueSource(ints = { 429, 503 })
	void reportsRefusedCallAsNotRun(int status) {
		receiveStatus(status);
		assertThat(((WorkFailed) lastSignal()).problem().execution()).isEqualTo(Execution.NOT_RUN);
	}

	static Stream<Arguments> failures() {
		return Stream.of(Arguments.of(CallFailure.NOT_SENT, Execution.NOT_RUN, true),
				Arguments.of(CallFailure.BROKEN, Execution.UNKNOWN, true),
				Arguments.of(CallFailure.TIMED_OUT, Execution.UNKNOWN, false),
				Arguments.of(CallFailure.ABORTED, Execution.UNKNOWN, false));
	}

	@ParameterizedTest(name = "{0}")
	@MethodSource("failures")
	void reportsNotRunOnlyIfNothingWasSent(CallFailure failure, Execution execution, boolean disrupted) {
		this.observer.onFailure(failure, "test");
		assertThat(((WorkFailed) lastSignal()).problem().execution()).isEqualTo(execution);
		assertThat(this.signals.get(0).disrupted()).isEqualTo(disrupted);
	}

	@ParameterizedTest(name = "{0} refusals")
	@ValueSource(ints = { 1, 3 })
	void keepsBytesWhileRingIsFull(int refusals) {
		receiveHead(200, "text/event-stream", "r.1");
		this.ringHasRoom = false;
		for (int refusal = 0; refusal < refusals; refusal++) {
			assertThat(this.observer.onBytes(Payload.of(EVENT + DONE))).isFalse();
		}
		this.ringHasRoom = true;
		assertThat(this.observer.onBytes(Payload.of(EVENT + DONE))).isTrue();
		this.observer.onEnd();
		assertThat(receivedText()).isEqualTo(EVENT + DONE);
		assertThat(lastSignal()).isInstanceOf(WorkEnded.class);
	}

	private static Consumer<AnswerObserverTests> consumer(Consumer<AnswerObserverTests> fault) {
		return fault;
	}

	private void receiveStream(String body) {
		receiveHead(200, "text/event-stream", "r.1");
		this.observer.onBytes(Payload.of(body));
		this.observer.onEnd();
	}

	private void receiveJson(String body) {
		receiveHead(200, "application/json", "r.1");
		this.observer.onBytes(Payload.of(body));
		this.observer.onEnd();
	}

	private void receiveStatus(int status) {
		receiveHead(status, "application/json", "r.1");
		this.observer.onEnd();
	}

}
