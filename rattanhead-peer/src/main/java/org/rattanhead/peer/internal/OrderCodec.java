package org.rattanhead.peer.internal;

import java.util.concurrent.TimeUnit;

import com.google.protobuf.UnsafeByteOperations;

import org.rattanhead.core.Payload;
import org.rattanhead.core.request.AttemptId;
import org.rattanhead.core.request.Target;
import org.rattanhead.core.request.TargetKind;
import org.rattanhead.core.request.UpstreamCall;
import org.rattanhead.core.request.Work;
import org.rattanhead.core.work.CancelWork;
import org.rattanhead.core.work.SubmitWork;
import org.rattanhead.core.work.WorkOrder;
import org.rattanhead.messages.Cancel;
import org.rattanhead.messages.PeerFrame;
import org.rattanhead.messages.Submit;

/**
 * Encodes and decodes orders. A deadline is sent as the time left, since the clocks of
 * daemons may differ.
 */
public final class OrderCodec {

	private OrderCodec() {
	}

	/**
	 * Encodes an order.
	 * @param order the order
	 * @param nowNanos the time on the monotonic clock of this process
	 * @return the frame
	 */
	public static PeerFrame encode(WorkOrder order, long nowNanos) {
		if (order instanceof SubmitWork submit) {
			return PeerFrame.newBuilder().setSubmit(submit(submit, nowNanos)).build();
		}
		return PeerFrame.newBuilder().setCancel(Cancel.newBuilder().setAttempt(order.attempt().toString())).build();
	}

	/**
	 * Decodes an order.
	 * @param frame the frame
	 * @param nowNanos the time on the monotonic clock of this process
	 * @return the order
	 */
	public static WorkOrder decode(PeerFrame frame, long nowNanos) {
		if (frame.hasCancel()) {
			return new CancelWork(parseAttempt(frame.getCancel().getAttempt()));
		}
		Submit submit = frame.getSubmit();
		Target target = new Target(submit.getService() ? TargetKind.SERVICE : TargetKind.MODEL, submit.getTarget());
		UpstreamCall call = new UpstreamCall(submit.getMethod(), submit.getPath(), submit.getContentType(),
				submit.getStreamed(), new Payload(submit.getBody().toByteArray()));
		long deadlineNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(submit.getRemainingMillis());
		return new SubmitWork(submit.getUpstream(),
				new Work(parseAttempt(submit.getAttempt()), submit.getWorkspace(), target, call, submit.getPriority(),
						submit.getPromptTokens(), submit.getMaxOutputTokens(), deadlineNanos,
						submit.getIdempotencyKey()));
	}

	static AttemptId parseAttempt(String text) {
		return AttemptId.parse(text)
			.orElseThrow(() -> new IllegalArgumentException(
					"'" + text + "' is not a valid attempt id; run the same release on all daemons"));
	}

	private static Submit.Builder submit(SubmitWork order, long nowNanos) {
		Work work = order.work();
		UpstreamCall call = work.call();
		return Submit.newBuilder()
			.setAttempt(work.attempt().toString())
			.setUpstream(order.upstream())
			.setWorkspace(work.workspace())
			.setService(work.target().kind() == TargetKind.SERVICE)
			.setTarget(work.target().name())
			.setMethod(call.method())
			.setPath(call.path())
			.setContentType(call.contentType())
			.setStreamed(call.streamed())
			.setBody(UnsafeByteOperations.unsafeWrap(call.body().bytes()))
			.setPriority(work.priority())
			.setPromptTokens(work.promptTokens())
			.setMaxOutputTokens(work.maxOutputTokens())
			.setRemainingMillis(TimeUnit.NANOSECONDS.toMillis(work.deadlineNanos() - nowNanos))
			.setIdempotencyKey(work.idempotencyKey());
	}

}
