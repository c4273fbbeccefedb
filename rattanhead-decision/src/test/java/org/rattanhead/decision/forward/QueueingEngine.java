package org.rattanhead.decision.forward;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;

import org.rattanhead.core.forward.EngineModel;
import org.rattanhead.core.forward.ForwardCall;
import org.rattanhead.core.request.AttemptId;

/**
 * An engine that admits requests to its slots by urgency, then arrival, and reads one
 * prompt at a time. Its helpers read their parts of the prompt at the same time.
 */
final class QueueingEngine {

	/** The time that an answer takes after its first event. */
	static final long STREAM_MILLIS = 2_000;

	private static final EngineModel MODEL = RankedConfiguration.ENGINE;

	private final VirtualSchedule schedule;

	private final EngineListener listener;

	private final Map<String, QueueingEngine> fleet;

	private final PriorityQueue<QueuedCall> queue = new PriorityQueue<>();

	private final Map<AttemptId, ForwardCall> admitted = new HashMap<>();

	private long readUntilMillis;

	private long calls;

	QueueingEngine(VirtualSchedule schedule, EngineListener listener, Map<String, QueueingEngine> fleet) {
		this.schedule = schedule;
		this.listener = listener;
		this.fleet = fleet;
	}

	void call(ForwardCall call) {
		this.calls++;
		this.queue.add(new QueuedCall(call, this.calls));
		admit();
	}

	void abort(AttemptId attempt) {
		this.queue.removeIf((queued) -> queued.call().attempt().equals(attempt));
		this.admitted.remove(attempt);
		admit();
	}

	private void admit() {
		while (this.admitted.size() < MODEL.slots() && !this.queue.isEmpty()) {
			ForwardCall call = this.queue.poll().call();
			this.admitted.put(call.attempt(), call);
			long firstEventMillis = read(call);
			this.schedule.after(firstEventMillis, () -> begin(call));
		}
	}

	private long read(ForwardCall call) {
		List<QueueingEngine> readers = new ArrayList<>(List.of(this));
		call.helpers().forEach((helper) -> readers.add(this.fleet.get(helper.address())));
		long tokens = call.request().tokens().orElseThrow().promptTokens();
		long partMillis = Math.round(MODEL.readMillis(tokens) / readers.size());
		long endMillis = 0;
		for (QueueingEngine reader : readers) {
			reader.readUntilMillis = Math.max(reader.readUntilMillis, this.schedule.nowMillis()) + partMillis;
			endMillis = Math.max(endMillis, reader.readUntilMillis);
		}
		return endMillis + Math.round(MODEL.passMillis()) - this.schedule.nowMillis();
	}

	private void begin(ForwardCall call) {
		if (this.admitted.containsKey(call.attempt())) {
			this.listener.begun(call);
			this.schedule.after(STREAM_MILLIS, () -> finish(call));
		}
	}

	private void finish(ForwardCall call) {
		if (this.admitted.remove(call.attempt()) != null) {
			this.listener.finished(call);
			admit();
		}
	}

}
