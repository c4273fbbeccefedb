package org.rattanhead.decision.forward;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;

import org.rattanhead.core.forward.AttemptFault;

/**
 * Creates the log entries about requests in progress and their attempts.
 */
final class AttemptLog {

	private AttemptLog() {
	}

	static LogDecision decision(String decision, Forwarding forwarding, String outcome, long nowNanos) {
		return new LogDecision(decision, forwarding.request().id().value(), forwarding.request().callerAttempt(),
				instance(forwarding), outcome, progress(forwarding, nowNanos));
	}

	/**
	 * Describes a failed attempt with what distinguishes a request at fault from the
	 * others that fail together with it.
	 * @param forwarding the request
	 * @param fault how the attempt failed
	 * @param knownCrashes the crashes attributed to the request before this failure
	 * @param detail what happened
	 * @param nowNanos the time on the monotonic clock
	 * @return the entry
	 */
	static LogDecision failed(Forwarding forwarding, AttemptFault fault, int knownCrashes, String detail,
			long nowNanos) {
		List<DecisionInput> inputs = new ArrayList<>(progress(forwarding, nowNanos));
		inputs.add(DecisionInput.of("fault", fault.name()));
		inputs.add(DecisionInput.of("data_received", Boolean.toString(forwarding.answerBeganNanos().isPresent())));
		inputs.add(DecisionInput.of("fingerprint", Long.toHexString(forwarding.request().fingerprint())));
		inputs.add(DecisionInput.of("shared_parts",
				forwarding.request().sharedParts().stream().map(Long::toHexString).collect(Collectors.joining(" "))));
		inputs.add(DecisionInput.of("known_crashes", knownCrashes));
		return new LogDecision("broken-attempt", forwarding.request().id().value(),
				forwarding.request().callerAttempt(), instance(forwarding), detail, inputs);
	}

	/**
	 * Describes the rank of a request, if its service has several.
	 * @param forwarding the request
	 * @return the inputs, empty if all its requests have the same rank
	 */
	static List<DecisionInput> rank(Forwarding forwarding) {
		return forwarding.rank().active() ? List.of(DecisionInput.of("rank", forwarding.rank().rank())) : List.of();
	}

	private static List<DecisionInput> progress(Forwarding forwarding, long nowNanos) {
		List<DecisionInput> inputs = new ArrayList<>(List.of(DecisionInput.of("attempt", forwarding.attempts()),
				DecisionInput.of("runs", forwarding.runs()), DecisionInput.of("first_ms", forwarding.firstDataMillis()),
				DecisionInput.of("elapsed_ms", forwarding.elapsedMillis(nowNanos)),
				DecisionInput.of("left_ms", forwarding.remainingMillis(nowNanos))));
		inputs.addAll(rank(forwarding));
		return inputs;
	}

	private static String instance(Forwarding forwarding) {
		return (forwarding.plan() != null) ? forwarding.plan().primary().instance().id() : "";
	}

}
