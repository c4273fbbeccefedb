package org.rattanhead.decision.forward;

import java.util.List;
import java.util.OptionalLong;

import org.rattanhead.core.Millis;
import org.rattanhead.core.Payload;
import org.rattanhead.core.forward.AnswerHead;
import org.rattanhead.core.forward.AnswerVerdict;
import org.rattanhead.core.forward.AttemptFault;
import org.rattanhead.core.problem.Execution;
import org.rattanhead.core.problem.Problem;
import org.rattanhead.core.problem.ProblemKind;

/**
 * Handles the outcome of an attempt: passes the response on, retries, or fails the
 * request.
 */
final class AttemptRules {

	private static final int FIRST_SERVER_ERROR = 500;

	/** The extension of the timeout while the engine still responds to other requests. */
	private static final long TIMEOUT_EXTENSION_MILLIS = 300;

	/**
	 * Bounds the extensions of one attempt, since an engine may hang on one request while
	 * it serves others.
	 */
	private static final int MAX_TIMEOUT_EXTENSIONS = 8;

	private final ForwardState state;

	private final Dispatcher dispatcher;

	private final RetryRules retries;

	private final CrashEvidence evidence;

	AttemptRules(ForwardState state, Dispatcher dispatcher) {
		this.state = state;
		this.dispatcher = dispatcher;
		this.retries = new RetryRules(state);
		this.evidence = new CrashEvidence(state);
	}

	void answered(Forwarding forwarding, AnswerHead head, long nowNanos, List<ForwardCommand> commands) {
		forwarding.plan().primary().responseReceived(nowNanos);
		if (head.verdict() == AnswerVerdict.NOT_RUN || head.verdict() == AnswerVerdict.WRONG_INSTANCE) {
			notRun(forwarding, head, nowNanos, commands);
		}
		else if (head.verdict() == AnswerVerdict.CROSSED) {
			commands.add(new AbortAttempt(forwarding.attempt()));
			attemptFailed(forwarding, AttemptFault.BROKEN, "the response belongs to another attempt", nowNanos,
					commands);
		}
		else if (head.status() >= FIRST_SERVER_ERROR && forwarding.route().repeatable() && !forwarding.plan().relayed()
				&& this.retries.allowed(forwarding, true, nowNanos)
				&& this.dispatcher.hasAlternative(forwarding, nowNanos)) {
			commands.add(new AbortAttempt(forwarding.attempt()));
			forwarding.plan().primary().failed(nowNanos);
			forwarding.exclude(forwarding.plan().primary().instance().id());
			retryOrFail(forwarding, "status " + head.status(), true, nowNanos, commands);
		}
		else if (forwarding.relay().started() && !head.streamed()) {
			commands.add(new AbortAttempt(forwarding.attempt()));
			attemptFailed(forwarding, AttemptFault.BROKEN, "the instance did not resume the stream", nowNanos,
					commands);
		}
		else {
			forwarding.answerHead(head);
			forwarding.relay().head(head);
			forwarding.stage(ForwardStage.ANSWERING, IdleTimeout.deadlineNanos(forwarding.route(), nowNanos));
		}
	}

	void continued(Forwarding forwarding, Payload bytes, long nowNanos, List<ForwardCommand> commands) {
		forwarding.markDataReceived(nowNanos);
		this.evidence.answerContinued(forwarding, nowNanos);
		if (forwarding.relay().receive(bytes, commands)) {
			forwarding.plan().primary().responseReceived(nowNanos);
			forwarding.stage(ForwardStage.ANSWERING, IdleTimeout.deadlineNanos(forwarding.route(), nowNanos));
		}
		else if (forwarding.relay().eventOversized()) {
			commands.add(new AbortAttempt(forwarding.attempt()));
			attemptFailed(forwarding, AttemptFault.BROKEN, "an event exceeds the bound of its size; check the instance",
					nowNanos, commands);
			return;
		}
		forwarding.relay().flow().grant(forwarding.attempt(), commands);
	}

	void finished(Forwarding forwarding, long nowNanos, List<ForwardCommand> commands) {
		if (!forwarding.relay().finish(commands)) {
			connectionFailed(forwarding, AttemptFault.BROKEN, "the stream ended inside an event", nowNanos, commands);
			return;
		}
		forwarding.plan().primary().succeeded();
		this.evidence.answerFinished(forwarding, nowNanos);
		commands.add(AttemptLog.decision("answered", forwarding, "whole", nowNanos));
		end(forwarding, nowNanos, commands);
	}

	/**
	 * Handles the failure of the connection to the instance, which may have crashed.
	 * @param forwarding the request
	 * @param fault how the connection failed
	 * @param detail what happened, for the log
	 * @param nowNanos the time on the monotonic clock
	 * @param commands receives the resulting commands
	 */
	void connectionFailed(Forwarding forwarding, AttemptFault fault, String detail, long nowNanos,
			List<ForwardCommand> commands) {
		if (fault == AttemptFault.BROKEN) {
			int knownCrashes = this.state.suspects().count(forwarding.request().crashKeys());
			commands.add(AttemptLog.failed(forwarding, fault, knownCrashes, detail, nowNanos));
			this.evidence.attemptBroke(forwarding, nowNanos);
		}
		attemptFailed(forwarding, fault, detail, nowNanos, commands);
	}

	private void attemptFailed(Forwarding forwarding, AttemptFault fault, String detail, long nowNanos,
			List<ForwardCommand> commands) {
		forwarding.plan().primary().failed(nowNanos);
		forwarding.exclude(forwarding.plan().primary().instance().id());
		this.state.reach().failed(forwarding, fault, nowNanos);
		if (fault == AttemptFault.NOT_SENT) {
			forwarding.didNotRun();
		}
		retryOrFail(forwarding, detail, fault != AttemptFault.NOT_SENT, nowNanos, commands);
	}

	/**
	 * Sends a request after its memory was reserved. Retries if the instance stopped
	 * accepting work in the meantime.
	 * @param forwarding the request
	 * @param nowNanos the time on the monotonic clock
	 * @param commands receives the resulting commands
	 */
	void reserved(Forwarding forwarding, long nowNanos, List<ForwardCommand> commands) {
		if (this.state.fleet().acceptsWork(forwarding.plan(), nowNanos)) {
			this.dispatcher.send(forwarding, nowNanos, commands);
		}
		else {
			retryOrFail(forwarding, "the instance no longer accepts work", false, nowNanos, commands);
		}
	}

	/**
	 * Places a request anew after an instance refused to reserve memory for it.
	 * @param forwarding the request
	 * @param instance the id of the instance
	 * @param nowNanos the time on the monotonic clock
	 * @param commands receives the resulting commands
	 */
	void reservationRefused(Forwarding forwarding, String instance, long nowNanos, List<ForwardCommand> commands) {
		forwarding.exclude(instance);
		retryOrFail(forwarding, "memory reservation refused", false, nowNanos, commands);
	}

	void overdue(Forwarding forwarding, long nowNanos, List<ForwardCommand> commands) {
		if (forwarding.stage() == ForwardStage.RESERVING) {
			for (Ticket ticket : this.state.tickets().unanswered(forwarding.attempt())) {
				forwarding.exclude(ticket.instance());
				this.state.fleet().find(ticket.instance()).ifPresent((load) -> load.failed(nowNanos));
			}
			retryOrFail(forwarding, "memory reservation timed out", false, nowNanos, commands);
		}
		else if (forwarding.relay().flow().blocked()) {
			// The instance is silent because its answer is not read.
			forwarding.stage(forwarding.stage(), IdleTimeout.deadlineNanos(forwarding.route(), nowNanos));
		}
		else if (forwarding.service().engine().isPresent() && forwarding.plan().primary().alive(nowNanos)
				&& (this.dispatcher.capacity().mayBeQueued(forwarding) || forwarding.extend(MAX_TIMEOUT_EXTENSIONS))) {
			forwarding.stage(forwarding.stage(), nowNanos + Millis.toNanos(TIMEOUT_EXTENSION_MILLIS));
		}
		else if (this.retries.allowed(forwarding, true, nowNanos)
				&& this.dispatcher.hasAlternative(forwarding, nowNanos)) {
			commands.add(new AbortAttempt(forwarding.attempt()));
			attemptFailed(forwarding, AttemptFault.TIMED_OUT, "no data received before the timeout", nowNanos,
					commands);
		}
		else {
			forwarding.stage(forwarding.stage(), Long.MAX_VALUE);
		}
	}

	void expired(Forwarding forwarding, long nowNanos, List<ForwardCommand> commands) {
		abort(forwarding, commands);
		Problem problem = (forwarding.runs() > 0)
				? Problem.failed(ProblemKind.DEADLINE_EXCEEDED, "The deadline passed before the answer was complete.")
				: AttemptProblems.notRun("The deadline passed before an instance ran the request.",
						OptionalLong.empty());
		fail(forwarding, problem, nowNanos, commands);
	}

	void graceEnded(Forwarding forwarding, long nowNanos, List<ForwardCommand> commands) {
		abort(forwarding, commands);
		fail(forwarding, AttemptProblems.shutDown(forwarding), nowNanos, commands);
	}

	void callerDisconnected(Forwarding forwarding, long nowNanos, List<ForwardCommand> commands) {
		abort(forwarding, commands);
		commands.add(AttemptLog.decision("abandoned", forwarding, "the caller disconnected", nowNanos));
		end(forwarding, nowNanos, commands);
	}

	/**
	 * Fails a request that cannot be placed. If an instance may have run it, the problem
	 * does not report it as not run.
	 * @param forwarding the request
	 * @param result why it cannot be placed
	 * @param nowNanos the time on the monotonic clock
	 * @param commands receives the resulting commands
	 */
	void refused(Forwarding forwarding, DispatchResult result, long nowNanos, List<ForwardCommand> commands) {
		Problem problem = (forwarding.runs() > 0) ? AttemptProblems.ran(forwarding, result.refusal()) : AttemptProblems
			.notRun(result.kind(), result.refusal(), this.dispatcher.retryAfterMillis(forwarding, nowNanos));
		fail(forwarding, problem, nowNanos, commands);
	}

	/**
	 * Ends a request that is blocked because instances crash with it.
	 * @param forwarding the request
	 * @param problem the problem if no instance has run it
	 * @param detail why it is blocked
	 * @param nowNanos the time on the monotonic clock
	 * @param commands receives the resulting commands
	 */
	void blocked(Forwarding forwarding, Problem problem, String detail, long nowNanos, List<ForwardCommand> commands) {
		abort(forwarding, commands);
		fail(forwarding, (forwarding.runs() > 0) ? AttemptProblems.ran(forwarding, detail) : problem, nowNanos,
				commands);
	}

	private void notRun(Forwarding forwarding, AnswerHead head, long nowNanos, List<ForwardCommand> commands) {
		forwarding.didNotRun();
		InstanceLoad primary = forwarding.plan().primary();
		InstanceLoad fault = this.state.fleet().findByAddress(head.faultAddress()).orElse(primary);
		forwarding.exclude(fault.instance().id());
		if (head.verdict() == AnswerVerdict.WRONG_INSTANCE) {
			fault.failed(nowNanos);
			ReplacedInstances.leaveDomain(forwarding, fault, this.state.fleet(), nowNanos);
		}
		else {
			fault.overloaded(nowNanos);
		}
		retryOrFail(forwarding, "not run, status " + head.status(), true, nowNanos, commands);
	}

	private void retryOrFail(Forwarding forwarding, String detail, boolean wasSent, long nowNanos,
			List<ForwardCommand> commands) {
		this.dispatcher.releaseAttempt(forwarding, nowNanos, commands);
		commands.add(AttemptLog.decision("failed-attempt", forwarding, detail, nowNanos));
		if (this.retries.allowed(forwarding, wasSent, nowNanos)
				&& !this.dispatcher.dispatch(forwarding, nowNanos, commands).refused()) {
			if (wasSent) {
				this.state.budget().retry(forwarding.service().name(), nowNanos);
			}
			return;
		}
		fail(forwarding,
				(forwarding.runs() > 0) ? AttemptProblems.ran(forwarding, detail + ".")
						: AttemptProblems.notRun("No instance ran the request; last attempt: " + detail + ".",
								this.dispatcher.retryAfterMillis(forwarding, nowNanos)),
				nowNanos, commands);
	}

	private void fail(Forwarding forwarding, Problem problem, long nowNanos, List<ForwardCommand> commands) {
		commands.add(AttemptLog.decision((problem.execution() == Execution.NOT_RUN) ? "refused" : "gave-up", forwarding,
				problem.kind().slug() + ": " + problem.detail(), nowNanos));
		commands.add(forwarding.relay().started() ? new AbortReply(forwarding.request().id())
				: new RefuseRequest(forwarding.request().id(), problem));
		end(forwarding, nowNanos, commands);
	}

	private void end(Forwarding forwarding, long nowNanos, List<ForwardCommand> commands) {
		this.dispatcher.releaseAttempt(forwarding, nowNanos, commands);
		this.state.remove(forwarding);
	}

	private static void abort(Forwarding forwarding, List<ForwardCommand> commands) {
		if (forwarding.attempt() != null && forwarding.stage() != ForwardStage.RESERVING) {
			commands.add(new AbortAttempt(forwarding.attempt()));
		}
	}

}
