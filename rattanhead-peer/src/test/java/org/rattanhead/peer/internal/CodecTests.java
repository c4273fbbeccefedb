package org.rattanhead.peer.internal;

import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

import com.google.protobuf.InvalidProtocolBufferException;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

import org.rattanhead.core.Payload;
import org.rattanhead.core.claim.AcquireClaim;
import org.rattanhead.core.claim.ClaimKey;
import org.rattanhead.core.claim.ClaimOrder;
import org.rattanhead.core.claim.ClaimOutcome;
import org.rattanhead.core.claim.ClaimVerdict;
import org.rattanhead.core.claim.KeptAnswer;
import org.rattanhead.core.claim.ReleaseClaim;
import org.rattanhead.core.claim.ReportAnswer;
import org.rattanhead.core.problem.Execution;
import org.rattanhead.core.problem.Problem;
import org.rattanhead.core.problem.ProblemKind;
import org.rattanhead.core.request.AttemptId;
import org.rattanhead.core.request.RequestId;
import org.rattanhead.core.request.Target;
import org.rattanhead.core.request.TargetKind;
import org.rattanhead.core.request.UpstreamCall;
import org.rattanhead.core.request.Work;
import org.rattanhead.core.upstream.UpstreamDigest;
import org.rattanhead.core.work.CancelWork;
import org.rattanhead.core.work.SubmitWork;
import org.rattanhead.core.work.WorkChunk;
import org.rattanhead.core.work.WorkEnded;
import org.rattanhead.core.work.WorkFailed;
import org.rattanhead.core.work.WorkOrder;
import org.rattanhead.core.work.WorkSignal;
import org.rattanhead.core.work.WorkStarted;
import org.rattanhead.messages.PeerFrame;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that encoding, serializing and decoding a message leaves it unchanged.
 */
class CodecTests {

	private static final AttemptId ATTEMPT = new AttemptId(new RequestId("host-1.2-3"), 4);

	private static final KeptAnswer KEPT_ANSWER = new KeptAnswer(200, "text", Payload.of("done"));

	private static final long SENT_NANOS = 5_000_000_000L;

	private static final long RECEIVED_NANOS = 90_000_000_000L;

	static Stream<WorkOrder> orders() {
		return Stream.of(new CancelWork(ATTEMPT), new SubmitWork("e", work(TargetKind.MODEL, SENT_NANOS)),
				new SubmitWork("s", work(TargetKind.SERVICE, SENT_NANOS)));
	}

	@ParameterizedTest
	@MethodSource("orders")
	void preservesOrders(WorkOrder order) throws InvalidProtocolBufferException {
		PeerFrame frame = PeerFrame.parseFrom(OrderCodec.encode(order, SENT_NANOS).toByteArray());
		assertThat(OrderCodec.decode(frame, SENT_NANOS)).isEqualTo(order);
	}

	@ParameterizedTest(name = "{0} ms left")
	@ValueSource(longs = { 1, 250, 600_000 })
	void preservesRemainingTimeAcrossClocks(long remainingMillis) throws InvalidProtocolBufferException {
		SubmitWork order = new SubmitWork("e", work(TargetKind.MODEL, SENT_NANOS + remainingMillis * 1_000_000));
		PeerFrame frame = PeerFrame.parseFrom(OrderCodec.encode(order, SENT_NANOS).toByteArray());
		SubmitWork received = (SubmitWork) OrderCodec.decode(frame, RECEIVED_NANOS);
		assertThat(received.work().deadlineNanos()).isEqualTo(RECEIVED_NANOS + remainingMillis * 1_000_000);
	}

	static Stream<WorkSignal> signals() {
		Problem problem = new Problem(ProblemKind.OVERLOADED, Execution.NOT_RUN, "detail", 7);
		return Stream.of(new WorkStarted(ATTEMPT, "e", 200, "text/event-stream"),
				new WorkChunk(ATTEMPT, Payload.of("ol\u00e1")), new WorkEnded(ATTEMPT),
				new WorkFailed(ATTEMPT, problem));
	}

	@ParameterizedTest
	@MethodSource("signals")
	void preservesSignals(WorkSignal signal) throws InvalidProtocolBufferException {
		assertThat(SignalCodec.decode(PeerFrame.parseFrom(SignalCodec.encode(signal).toByteArray()))).isEqualTo(signal);
	}

	static Stream<ClaimOrder> claimOrders() {
		ClaimKey key = new ClaimKey("w", "k");
		return Stream.of(new AcquireClaim(ATTEMPT.request(), key, "d", SENT_NANOS),
				new ReleaseClaim(ATTEMPT.request(), key), new ReportAnswer(ATTEMPT.request(), key, KEPT_ANSWER));
	}

	@ParameterizedTest
	@MethodSource("claimOrders")
	void preservesClaimOrders(ClaimOrder order) throws InvalidProtocolBufferException {
		PeerFrame frame = PeerFrame.parseFrom(ClaimCodec.encode(order, SENT_NANOS).toByteArray());
		assertThat(ClaimCodec.decode(frame, SENT_NANOS)).isEqualTo(order);
	}

	static Stream<ClaimVerdict> verdicts() {
		return Stream.of(ClaimVerdict.of(ATTEMPT.request(), ClaimOutcome.GRANTED),
				new ClaimVerdict(ATTEMPT.request(), ClaimOutcome.ANSWERED, Optional.of(KEPT_ANSWER)));
	}

	@ParameterizedTest
	@MethodSource("verdicts")
	void preservesVerdicts(ClaimVerdict verdict) throws InvalidProtocolBufferException {
		PeerFrame frame = PeerFrame.parseFrom(ClaimCodec.encode(verdict).toByteArray());
		assertThat(ClaimCodec.decode(frame.getClaimReply())).isEqualTo(verdict);
	}

	static Stream<List<UpstreamDigest>> digests() {
		return Stream.of(List.of(), List.of(new UpstreamDigest("e", true, false, 1, 2, 3, 4),
				new UpstreamDigest("f", false, true, 0, 0, 0, 0)));
	}

	@ParameterizedTest
	@MethodSource("digests")
	void preservesDigests(List<UpstreamDigest> digests) throws InvalidProtocolBufferException {
		assertThat(DigestCodec.decode(PeerFrame.parseFrom(DigestCodec.encode(digests).toByteArray())))
			.isEqualTo(digests);
	}

	private static Work work(TargetKind kind, long deadlineNanos) {
		return new Work(ATTEMPT, "w", new Target(kind, "m"),
				new UpstreamCall("POST", "/p", "application/json", true, Payload.of("{}")), 1, 2, 3, deadlineNanos,
				"k");
	}

}
