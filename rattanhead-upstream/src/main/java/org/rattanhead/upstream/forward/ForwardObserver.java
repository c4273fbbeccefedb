package org.rattanhead.upstream.forward;

import java.util.OptionalLong;

import org.rattanhead.client.CallFailure;
import org.rattanhead.client.HttpHead;
import org.rattanhead.client.ReplyObserver;
import org.rattanhead.core.Payload;
import org.rattanhead.core.forward.AttemptFault;
import org.rattanhead.core.forward.ForwardCall;
import org.rattanhead.core.forward.ServerNotice;
import org.rattanhead.decision.forward.AttemptAnswered;
import org.rattanhead.decision.forward.AttemptContinued;
import org.rattanhead.decision.forward.AttemptFailed;
import org.rattanhead.decision.forward.AttemptFinished;
import org.rattanhead.decision.forward.ForwardEvent;
import org.rattanhead.decision.forward.GrantBytes;
import org.rattanhead.decision.forward.InstanceNoticed;
import org.rattanhead.ring.EventSink;
import org.rattanhead.ring.Urgency;

/**
 * Converts the reply to one call into events for the decisions. An aborted call yields no
 * event, since the decisions ordered the abort.
 */
final class ForwardObserver implements ReplyObserver {

	private final ForwardCall call;

	private final CallCodec codec;

	private final EventSink<ForwardEvent> decisions;

	private final Runnable onEnded;

	ForwardObserver(ForwardCall call, CallCodec codec, EventSink<ForwardEvent> decisions, Runnable onEnded) {
		this.call = call;
		this.codec = codec;
		this.decisions = decisions;
		this.onEnded = onEnded;
	}

	@Override
	public void onHead(HttpHead head) {
		ServerNotice notice = this.codec.notice(head);
		if (!notice.equals(ServerNotice.NONE) && !this.call.relayed()) {
			this.decisions.offer(new InstanceNoticed(this.call.instance().id(),
					OptionalLong.of(this.call.instance().incarnation()), notice), Urgency.COMPLETION);
		}
		this.decisions.offer(new AttemptAnswered(this.call.attempt(), this.codec.decode(head, this.call)),
				Urgency.COMPLETION);
	}

	@Override
	public boolean onBytes(Payload bytes) {
		return this.decisions.offer(new AttemptContinued(this.call.attempt(), bytes), Urgency.STREAM);
	}

	@Override
	public long windowBytes() {
		return GrantBytes.WINDOW_BYTES;
	}

	@Override
	public void onEnd() {
		this.onEnded.run();
		this.decisions.offer(new AttemptFinished(this.call.attempt()), Urgency.COMPLETION);
	}

	@Override
	public void onFailure(CallFailure failure, String detail) {
		this.onEnded.run();
		if (failure != CallFailure.ABORTED) {
			this.decisions.offer(new AttemptFailed(this.call.attempt(), fault(failure), detail), Urgency.COMPLETION);
		}
	}

	private static AttemptFault fault(CallFailure failure) {
		return switch (failure) {
			case NOT_SENT -> AttemptFault.NOT_SENT;
			case TIMED_OUT -> AttemptFault.TIMED_OUT;
			default -> AttemptFault.BROKEN;
		};
	}

}
