package org.rattanhead.upstream;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import org.rattanhead.client.HttpCall;
import org.rattanhead.client.HttpClient;
import org.rattanhead.client.OngoingCall;
import org.rattanhead.core.HandlerTable;
import org.rattanhead.core.Payload;
import org.rattanhead.core.catalogue.UpstreamEntry;
import org.rattanhead.core.host.HostAddress;
import org.rattanhead.core.problem.Problem;
import org.rattanhead.core.problem.ProblemKind;
import org.rattanhead.core.request.AttemptId;
import org.rattanhead.core.request.Work;
import org.rattanhead.core.work.WorkFailed;
import org.rattanhead.decision.holder.AbortCall;
import org.rattanhead.decision.holder.CallUpstream;
import org.rattanhead.decision.holder.HolderEvent;
import org.rattanhead.decision.holder.LoadMissing;
import org.rattanhead.decision.holder.LoadReported;
import org.rattanhead.decision.holder.PollLoad;
import org.rattanhead.decision.holder.UpstreamSignal;
import org.rattanhead.ring.Duty;
import org.rattanhead.ring.EventSink;
import org.rattanhead.ring.Urgency;
import org.rattanhead.upstream.internal.AnswerObserver;
import org.rattanhead.upstream.internal.CallHeaders;
import org.rattanhead.upstream.internal.LoadJson;

/**
 * The duty that calls upstreams on behalf of the lease holder. Answers go to the ring of
 * the lease holder.
 */
public final class UpstreamDuty implements AutoCloseable {

	private static final int RING_SLOTS = 16_384;

	private static final long CONTROL_TIMEOUT_MILLIS = 1_000;

	private static final int OK = 200;

	private final HttpClient caller;

	private final EventSink<HolderEvent> holder;

	private final UpstreamObserver observer;

	private final Map<AttemptId, OngoingCall> calls = new HashMap<>();

	private final Duty<UpstreamTask> duty;

	/**
	 * Starts the duty.
	 * @param caller makes the calls
	 * @param holder the ring of the lease holder
	 * @param observer counts crossed answers
	 */
	public UpstreamDuty(HttpClient caller, EventSink<HolderEvent> holder, UpstreamObserver observer) {
		this.caller = caller;
		this.holder = holder;
		this.observer = observer;
		HandlerTable<UpstreamTask, Boolean> handlers = new HandlerTable<UpstreamTask, Boolean>()
			.on(StartCall.class, (task, now) -> start(task.command(), now))
			.on(StopCall.class, (task, now) -> cancel(task.command()))
			.on(RemoveCall.class, (task, now) -> removeAndAbort(task.attempt()))
			.on(ReadLoad.class, (task, now) -> readLoad(task.command()))
			.covering(UpstreamTask.class);
		this.duty = new Duty<>("upstream", RING_SLOTS, System::nanoTime, handlers::handle);
	}

	/**
	 * Calls an upstream. If the ring has no room for new work, it is reported to the
	 * lease holder as not run.
	 * @param command the call
	 */
	public void call(CallUpstream command) {
		if (!this.duty.offer(new StartCall(command), Urgency.NEW_WORK)) {
			Problem problem = Problem.notRun(ProblemKind.OVERLOADED, "The daemon is too busy to call the upstream.");
			this.holder.offer(new UpstreamSignal(command.upstream().name(),
					new WorkFailed(command.work().attempt(), problem), false), Urgency.CONTROL);
		}
	}

	/**
	 * Cancels a call. An engine also receives a cancel request, so that it stops working
	 * on the prompt.
	 * @param command the call
	 */
	public void abort(AbortCall command) {
		this.duty.offer(new StopCall(command), Urgency.CONTROL);
	}

	/**
	 * Requests the load of an upstream. A reply that is missing or cannot be decoded is
	 * reported as {@link LoadMissing}.
	 * @param command the upstream
	 */
	public void poll(PollLoad command) {
		this.duty.offer(new ReadLoad(command), Urgency.STREAM);
	}

	/**
	 * Returns the duty, for its metrics.
	 * @return the duty
	 */
	public Duty<?> duty() {
		return this.duty;
	}

	private boolean start(CallUpstream command, long nowNanos) {
		Work work = command.work();
		long timeoutMillis = TimeUnit.NANOSECONDS.toMillis(work.deadlineNanos() - nowNanos);
		HttpCall call = new HttpCall(HostAddress.parse(command.upstream().address()), work.call().method(),
				work.call().path(), CallHeaders.of(work), work.call().body(), Math.max(1, timeoutMillis));
		Runnable onEnded = () -> this.duty.offer(new RemoveCall(work.attempt()), Urgency.CONTROL);
		AnswerObserver answer = new AnswerObserver(command.upstream(), work, this.holder, this.observer, onEnded);
		this.calls.put(work.attempt(), this.caller.start(call, answer));
		return true;
	}

	private boolean cancel(AbortCall command) {
		boolean found = removeAndAbort(command.attempt());
		if (command.upstream().engine()) {
			this.caller.call(new HttpCall(HostAddress.parse(command.upstream().address()), "POST",
					"/requests/" + command.attempt() + "/cancel", List.of(), Payload.EMPTY, CONTROL_TIMEOUT_MILLIS));
		}
		return found;
	}

	private boolean removeAndAbort(AttemptId attempt) {
		OngoingCall call = this.calls.remove(attempt);
		if (call != null) {
			call.abort();
		}
		return call != null;
	}

	private boolean readLoad(PollLoad command) {
		UpstreamEntry upstream = command.upstream();
		this.caller.call(HttpCall.get(HostAddress.parse(upstream.address()), "/load", CONTROL_TIMEOUT_MILLIS))
			.thenApply((reply) -> (reply.status() == OK) ? LoadJson.decode(reply.body()) : null)
			.whenComplete((load, failure) -> this.holder.offer(
					(load != null) ? new LoadReported(upstream.name(), load) : new LoadMissing(upstream.name()),
					Urgency.CONTROL));
		return true;
	}

	@Override
	public void close() {
		this.duty.close();
	}

}
