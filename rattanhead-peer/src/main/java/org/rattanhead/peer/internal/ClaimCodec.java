package org.rattanhead.peer.internal;

import java.util.Optional;
import java.util.concurrent.TimeUnit;

import com.google.protobuf.UnsafeByteOperations;

import org.rattanhead.core.HandlerTable;
import org.rattanhead.core.Payload;
import org.rattanhead.core.claim.AcquireClaim;
import org.rattanhead.core.claim.ClaimKey;
import org.rattanhead.core.claim.ClaimOrder;
import org.rattanhead.core.claim.ClaimOutcome;
import org.rattanhead.core.claim.ClaimVerdict;
import org.rattanhead.core.claim.KeptAnswer;
import org.rattanhead.core.claim.ReleaseClaim;
import org.rattanhead.core.claim.ReportAnswer;
import org.rattanhead.core.request.RequestId;
import org.rattanhead.messages.ClaimAsk;
import org.rattanhead.messages.ClaimRelease;
import org.rattanhead.messages.ClaimReply;
import org.rattanhead.messages.ClaimReport;
import org.rattanhead.messages.PeerFrame;

/**
 * Encodes and decodes claim orders and verdicts. A deadline is sent as the time left,
 * since the clocks of daemons may differ.
 */
public final class ClaimCodec {

	private static final HandlerTable<ClaimOrder, PeerFrame> ENCODERS = new HandlerTable<ClaimOrder, PeerFrame>()
		.on(AcquireClaim.class, ClaimCodec::acquire)
		.on(ReleaseClaim.class, (order, now) -> release(order))
		.on(ReportAnswer.class, (order, now) -> report(order))
		.covering(ClaimOrder.class);

	private ClaimCodec() {
	}

	/**
	 * Encodes an order.
	 * @param order the order
	 * @param nowNanos the time on the monotonic clock of this process
	 * @return the frame
	 */
	public static PeerFrame encode(ClaimOrder order, long nowNanos) {
		return ENCODERS.handle(order, nowNanos);
	}

	/**
	 * Decodes an order.
	 * @param frame the frame
	 * @param nowNanos the time on the monotonic clock of this process
	 * @return the order
	 */
	public static ClaimOrder decode(PeerFrame frame, long nowNanos) {
		return switch (frame.getBodyCase()) {
			case CLAIM_ASK -> acquire(frame.getClaimAsk(), nowNanos);
			case CLAIM_RELEASE -> new ReleaseClaim(new RequestId(frame.getClaimRelease().getRequest()),
					new ClaimKey(frame.getClaimRelease().getWorkspace(), frame.getClaimRelease().getKey()));
			default -> report(frame.getClaimReport());
		};
	}

	/**
	 * Encodes a verdict.
	 * @param verdict the verdict
	 * @return the frame
	 */
	public static PeerFrame encode(ClaimVerdict verdict) {
		ClaimReply.Builder reply = ClaimReply.newBuilder()
			.setRequest(verdict.request().value())
			.setOutcome(verdict.outcome().name());
		verdict.answer()
			.ifPresent((answer) -> reply.setAnswered(true)
				.setStatus(answer.status())
				.setContentType(answer.contentType())
				.setBody(UnsafeByteOperations.unsafeWrap(answer.body().bytes())));
		return PeerFrame.newBuilder().setClaimReply(reply).build();
	}

	/**
	 * Decodes a verdict.
	 * @param reply the message
	 * @return the verdict
	 */
	public static ClaimVerdict decode(ClaimReply reply) {
		Optional<KeptAnswer> answer = reply.getAnswered() ? Optional
			.of(new KeptAnswer(reply.getStatus(), reply.getContentType(), new Payload(reply.getBody().toByteArray())))
				: Optional.empty();
		return new ClaimVerdict(new RequestId(reply.getRequest()), ClaimOutcome.valueOf(reply.getOutcome()), answer);
	}

	private static PeerFrame acquire(AcquireClaim order, long nowNanos) {
		return PeerFrame.newBuilder()
			.setClaimAsk(ClaimAsk.newBuilder()
				.setRequest(order.request().value())
				.setWorkspace(order.key().workspace())
				.setKey(order.key().key())
				.setDigest(order.digest())
				.setRemainingMillis(TimeUnit.NANOSECONDS.toMillis(order.deadlineNanos() - nowNanos)))
			.build();
	}

	private static AcquireClaim acquire(ClaimAsk message, long nowNanos) {
		return new AcquireClaim(new RequestId(message.getRequest()),
				new ClaimKey(message.getWorkspace(), message.getKey()), message.getDigest(),
				nowNanos + TimeUnit.MILLISECONDS.toNanos(message.getRemainingMillis()));
	}

	private static PeerFrame release(ReleaseClaim order) {
		return PeerFrame.newBuilder()
			.setClaimRelease(ClaimRelease.newBuilder()
				.setRequest(order.request().value())
				.setWorkspace(order.key().workspace())
				.setKey(order.key().key()))
			.build();
	}

	private static PeerFrame report(ReportAnswer order) {
		return PeerFrame.newBuilder()
			.setClaimReport(ClaimReport.newBuilder()
				.setRequest(order.request().value())
				.setWorkspace(order.key().workspace())
				.setKey(order.key().key())
				.setStatus(order.answer().status())
				.setContentType(order.answer().contentType())
				.setBody(UnsafeByteOperations.unsafeWrap(order.answer().body().bytes())))
			.build();
	}

	private static ReportAnswer report(ClaimReport report) {
		return new ReportAnswer(new RequestId(report.getRequest()),
				new ClaimKey(report.getWorkspace(), report.getKey()), new KeptAnswer(report.getStatus(),
						report.getContentType(), new Payload(report.getBody().toByteArray())));
	}

}
