package org.rattanhead.peer.internal;

import com.google.protobuf.UnsafeByteOperations;

import org.rattanhead.core.HandlerTable;
import org.rattanhead.core.Payload;
import org.rattanhead.core.problem.Execution;
import org.rattanhead.core.problem.Problem;
import org.rattanhead.core.problem.ProblemKind;
import org.rattanhead.core.work.WorkChunk;
import org.rattanhead.core.work.WorkEnded;
import org.rattanhead.core.work.WorkFailed;
import org.rattanhead.core.work.WorkSignal;
import org.rattanhead.core.work.WorkStarted;
import org.rattanhead.messages.Chunk;
import org.rattanhead.messages.Ended;
import org.rattanhead.messages.Failed;
import org.rattanhead.messages.PeerFrame;
import org.rattanhead.messages.Started;

/**
 * Encodes and decodes signals.
 */
public final class SignalCodec {

	private static final HandlerTable<WorkSignal, PeerFrame> ENCODERS = new HandlerTable<WorkSignal, PeerFrame>()
		.on(WorkStarted.class, (signal, now) -> started(signal))
		.on(WorkChunk.class, (signal, now) -> chunk(signal))
		.on(WorkEnded.class, (signal, now) -> ended(signal))
		.on(WorkFailed.class, (signal, now) -> failed(signal))
		.covering(WorkSignal.class);

	private SignalCodec() {
	}

	/**
	 * Encodes a signal.
	 * @param signal the signal
	 * @return the frame
	 */
	public static PeerFrame encode(WorkSignal signal) {
		return ENCODERS.handle(signal, 0);
	}

	/**
	 * Decodes a signal.
	 * @param frame the frame
	 * @return the signal
	 */
	public static WorkSignal decode(PeerFrame frame) {
		return switch (frame.getBodyCase()) {
			case STARTED -> new WorkStarted(OrderCodec.parseAttempt(frame.getStarted().getAttempt()),
					frame.getStarted().getUpstream(), frame.getStarted().getStatus(),
					frame.getStarted().getContentType());
			case CHUNK -> new WorkChunk(OrderCodec.parseAttempt(frame.getChunk().getAttempt()),
					new Payload(frame.getChunk().getBytes().toByteArray()));
			case ENDED -> new WorkEnded(OrderCodec.parseAttempt(frame.getEnded().getAttempt()));
			default -> failed(frame.getFailed());
		};
	}

	private static PeerFrame started(WorkStarted signal) {
		return PeerFrame.newBuilder()
			.setStarted(Started.newBuilder()
				.setAttempt(signal.attempt().toString())
				.setUpstream(signal.upstream())
				.setStatus(signal.status())
				.setContentType(signal.contentType()))
			.build();
	}

	private static PeerFrame chunk(WorkChunk signal) {
		return PeerFrame.newBuilder()
			.setChunk(Chunk.newBuilder()
				.setAttempt(signal.attempt().toString())
				.setBytes(UnsafeByteOperations.unsafeWrap(signal.bytes().bytes())))
			.build();
	}

	private static PeerFrame ended(WorkEnded signal) {
		return PeerFrame.newBuilder().setEnded(Ended.newBuilder().setAttempt(signal.attempt().toString())).build();
	}

	private static PeerFrame failed(WorkFailed signal) {
		Problem problem = signal.problem();
		return PeerFrame.newBuilder()
			.setFailed(Failed.newBuilder()
				.setAttempt(signal.attempt().toString())
				.setKind(problem.kind().slug())
				.setExecution(problem.execution().name())
				.setDetail(problem.detail())
				.setRetryAfterMillis(problem.retryAfterMillis()))
			.build();
	}

	private static WorkFailed failed(Failed failed) {
		Problem problem = new Problem(ProblemKind.ofSlug(failed.getKind()), Execution.valueOf(failed.getExecution()),
				failed.getDetail(), failed.getRetryAfterMillis());
		return new WorkFailed(OrderCodec.parseAttempt(failed.getAttempt()), problem);
	}

}
