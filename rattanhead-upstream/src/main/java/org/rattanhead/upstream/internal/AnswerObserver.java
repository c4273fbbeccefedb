package org.rattanhead.upstream.internal;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.function.Function;

import org.rattanhead.client.CallFailure;
import org.rattanhead.client.HttpHead;
import org.rattanhead.client.ReplyObserver;
import org.rattanhead.core.Payload;
import org.rattanhead.core.catalogue.UpstreamEntry;
import org.rattanhead.core.problem.Problem;
import org.rattanhead.core.problem.ProblemKind;
import org.rattanhead.core.request.Work;
import org.rattanhead.core.work.WorkChunk;
import org.rattanhead.core.work.WorkFailed;
import org.rattanhead.core.work.WorkSignal;
import org.rattanhead.decision.holder.HolderEvent;
import org.rattanhead.decision.holder.UpstreamSignal;
import org.rattanhead.ring.EventSink;
import org.rattanhead.ring.Urgency;
import org.rattanhead.upstream.UpstreamObserver;

/**
 * Receives one answer and passes its signals to the lease holder. Confined to the I/O
 * thread of the call, except for a failure to connect, which is then the only event.
 */
public final class AnswerObserver implements ReplyObserver {

	private final UpstreamEntry upstream;

	private final Work work;

	private final EventSink<HolderEvent> holder;

	private final UpstreamObserver observer;

	private final Runnable onEnded;

	private final Deque<WorkSignal> unsent = new ArrayDeque<>();

	private AnswerReader reader;

	private boolean ended;

	private boolean paused;

	/**
	 * Creates the observer of one call.
	 * @param upstream the upstream
	 * @param work the work
	 * @param holder the ring of the lease holder
	 * @param observer counts crossed answers
	 * @param onEnded invoked when the call has ended
	 */
	public AnswerObserver(UpstreamEntry upstream, Work work, EventSink<HolderEvent> holder, UpstreamObserver observer,
			Runnable onEnded) {
		this.upstream = upstream;
		this.work = work;
		this.holder = holder;
		this.observer = observer;
		this.onEnded = onEnded;
	}

	@Override
	public void onHead(HttpHead head) {
		collectSignals(() -> {
			this.reader = AnswerReaders.of(this.upstream, this.work, head);
			return List.of();
		});
	}

	@Override
	public boolean onBytes(Payload bytes) {
		if (this.ended) {
			return true;
		}
		if (!this.paused) {
			collectSignals(() -> this.reader.read(bytes));
		}
		this.paused = !offerUnsent((signal) -> (signal instanceof WorkChunk) ? Urgency.STREAM : Urgency.CONTROL);
		return !this.paused;
	}

	@Override
	public void onEnd() {
		if (!this.ended) {
			collectSignals(() -> this.reader.end());
		}
		if (!this.ended) {
			offerUnsent((signal) -> Urgency.CONTROL);
			finish();
		}
	}

	@Override
	public void onFailure(CallFailure failure, String detail) {
		if (!this.ended) {
			fail(CallProblems.of(this.upstream, this.work, failure, detail),
					failure == CallFailure.NOT_SENT || failure == CallFailure.BROKEN);
		}
	}

	private void collectSignals(SignalSource source) {
		if (this.ended) {
			return;
		}
		try {
			this.unsent.addAll(source.signals());
		}
		catch (InvalidAnswerException ex) {
			if (ex.crossed()) {
				this.observer.onCrossedAnswer(this.upstream.name());
			}
			fail(Problem.unknown(ProblemKind.UPSTREAM_FAILED,
					"Upstream '" + this.upstream.name() + "' failed: " + ex.getMessage() + "."), false);
		}
	}

	private boolean offerUnsent(Function<WorkSignal, Urgency> urgency) {
		while (!this.unsent.isEmpty()) {
			WorkSignal next = this.unsent.peek();
			if (!this.holder.offer(new UpstreamSignal(this.upstream.name(), next, false), urgency.apply(next))) {
				return false;
			}
			this.unsent.poll();
		}
		return true;
	}

	private void fail(Problem problem, boolean disrupted) {
		this.unsent.clear();
		this.holder.offer(
				new UpstreamSignal(this.upstream.name(), new WorkFailed(this.work.attempt(), problem), disrupted),
				Urgency.CONTROL);
		finish();
	}

	private void finish() {
		this.ended = true;
		this.onEnded.run();
	}

}
