package org.rattanhead.decision.forward;

import java.util.Arrays;
import java.util.List;
import java.util.stream.Collectors;

import org.rattanhead.core.request.RequestId;

/**
 * Confines a failing rule to the request that it was applied to: that request ends with a
 * final reply, and the commands decided before, for it and for others, are executed.
 */
final class RuleFaults {

	private static final int LOGGED_FRAMES = 8;

	private final ForwardState state;

	private final Dispatcher dispatcher;

	RuleFaults(ForwardState state, Dispatcher dispatcher) {
		this.state = state;
		this.dispatcher = dispatcher;
	}

	/**
	 * Applies a rule to a request.
	 * @param forwarding the request, which ends if the rule fails
	 * @param nowNanos the time on the monotonic clock
	 * @param commands receives the resulting commands
	 * @param rule the rule
	 */
	void confine(Forwarding forwarding, long nowNanos, List<ForwardCommand> commands, Runnable rule) {
		try {
			rule.run();
		}
		catch (RuntimeException | Error ex) {
			commands.add(log(forwarding.request().id().value(), ex));
			end(forwarding, nowNanos, commands);
		}
	}

	/**
	 * Applies a rule that concerns no single request.
	 * @param commands receives the resulting commands
	 * @param rule the rule
	 */
	void confine(List<ForwardCommand> commands, Runnable rule) {
		try {
			rule.run();
		}
		catch (RuntimeException | Error ex) {
			commands.add(log("", ex));
		}
	}

	/**
	 * Describes a failure.
	 * @param request the id of the request, empty if the rule concerned no single one
	 * @param failure the failure
	 * @return the log entry
	 */
	static LogDecision log(String request, Throwable failure) {
		String trace = Arrays.stream(failure.getStackTrace())
			.limit(LOGGED_FRAMES)
			.map(StackTraceElement::toString)
			.collect(Collectors.joining(" < "));
		return new LogDecision("internal-error", request, "", "", failure.toString(),
				List.of(DecisionInput.of("trace", trace)));
	}

	/**
	 * Ends a request without relying on the state that the rule may have left incomplete.
	 * @param forwarding the request
	 * @param nowNanos the time on the monotonic clock
	 * @param commands receives the resulting commands
	 */
	private void end(Forwarding forwarding, long nowNanos, List<ForwardCommand> commands) {
		RequestId request = forwarding.request().id();
		if (commands.stream().noneMatch((command) -> endsReply(command, request))) {
			commands.add(forwarding.relay().started() ? new AbortReply(request)
					: new RefuseRequest(request, AttemptProblems.ruleFailed(forwarding)));
		}
		this.state.remove(forwarding);
		if (forwarding.attempt() != null) {
			commands.add(new AbortAttempt(forwarding.attempt()));
		}
		confine(commands, () -> this.dispatcher.releaseAttempt(forwarding, nowNanos, commands));
	}

	private static boolean endsReply(ForwardCommand command, RequestId request) {
		return (command instanceof FinishReply finish && finish.request().equals(request))
				|| (command instanceof RefuseRequest refuse && refuse.request().equals(request))
				|| (command instanceof AbortReply abort && abort.request().equals(request));
	}

}
