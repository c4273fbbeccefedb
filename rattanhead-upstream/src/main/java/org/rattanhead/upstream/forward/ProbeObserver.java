package org.rattanhead.upstream.forward;

import java.util.concurrent.atomic.AtomicBoolean;

import org.rattanhead.client.CallFailure;
import org.rattanhead.client.HttpHead;
import org.rattanhead.client.ReplyObserver;
import org.rattanhead.core.Payload;
import org.rattanhead.decision.forward.ForwardEvent;
import org.rattanhead.decision.forward.InstanceProbed;
import org.rattanhead.ring.EventSink;
import org.rattanhead.ring.Urgency;

/**
 * Reports whether an instance sends the head of an answer, whatever it says.
 */
final class ProbeObserver implements ReplyObserver {

	private final String instance;

	private final EventSink<ForwardEvent> decisions;

	private final AtomicBoolean reported = new AtomicBoolean();

	ProbeObserver(String instance, EventSink<ForwardEvent> decisions) {
		this.instance = instance;
		this.decisions = decisions;
	}

	@Override
	public void onHead(HttpHead head) {
		report(true);
	}

	@Override
	public boolean onBytes(Payload bytes) {
		return true;
	}

	@Override
	public void onEnd() {
		// Reported with the head.
	}

	@Override
	public void onFailure(CallFailure failure, String detail) {
		report(false);
	}

	private void report(boolean answered) {
		if (this.reported.compareAndSet(false, true)) {
			this.decisions.offer(new InstanceProbed(this.instance, answered), Urgency.COMPLETION);
		}
	}

}
