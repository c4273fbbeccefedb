package org.rattanhead.decision.forward;

import java.util.List;

import org.rattanhead.core.problem.Problem;
import org.rattanhead.core.problem.ProblemKind;
import org.rattanhead.decision.crash.SuspectChange;

/**
 * Refuses the requests with which instances crash, and reports them to the other daemons.
 */
final class CrashRules {

	/** The retry delay for a request that crashes instances. */
	private static final long RETRY_AFTER_MILLIS = 5_000;

	private final ForwardState state;

	private final AttemptRules attempts;

	private final RuleFaults faults;

	CrashRules(ForwardState state, AttemptRules attempts, RuleFaults faults) {
		this.state = state;
		this.attempts = attempts;
		this.faults = faults;
	}

	/**
	 * Returns the problem for a request that is blocked.
	 * @param suspect the request, or the part of its prompt, that is blocked
	 * @return the problem
	 */
	static Problem problem(long suspect) {
		return Problem.notRun(ProblemKind.OVERLOADED, detail(suspect), RETRY_AFTER_MILLIS);
	}

	/**
	 * Acts on suspects that were blocked and on those whose block ended.
	 * @param nowNanos the time on the monotonic clock
	 * @param commands receives the resulting commands
	 */
	void applyChanges(long nowNanos, List<ForwardCommand> commands) {
		for (SuspectChange change : this.state.suspects().takeChanges()) {
			commands.add(new LogDecision(change.blocked() ? "suspect-blocked" : "suspect-cleared", "", "", "",
					change.reason(), List.of(DecisionInput.of("suspect", Long.toHexString(change.key())),
							DecisionInput.of("crashes", change.crashes()))));
			boolean stored = this.state.storedSuspects().contains(change.key());
			if (change.blocked()) {
				rejectRunning(change.key(), nowNanos, commands);
				if (change.seenHere() && !stored) {
					commands.add(new StoreSuspect(change.key()));
				}
			}
			else if (change.seenHere() || stored) {
				commands.add(new DeleteSuspect(change.key()));
			}
		}
	}

	/**
	 * Sends the other daemons what they should know before the next heartbeat.
	 * @param nowNanos the time on the monotonic clock
	 * @param commands receives the resulting commands
	 */
	void publish(long nowNanos, List<ForwardCommand> commands) {
		if (this.state.suspects().reportDue()) {
			commands.add(new PublishCrashes(this.state.suspects().reports(nowNanos)));
		}
	}

	private void rejectRunning(long suspect, long nowNanos, List<ForwardCommand> commands) {
		for (Forwarding forwarding : this.state.all()) {
			this.faults.confine(forwarding, nowNanos, commands,
					() -> rejectHarmful(forwarding, suspect, nowNanos, commands));
		}
	}

	private void rejectHarmful(Forwarding forwarding, long suspect, long nowNanos, List<ForwardCommand> commands) {
		// Running attempts of a suspect that instances answered before may clear it.
		boolean harmful = forwarding.stage() == ForwardStage.HELD
				|| (!forwarding.answerGoesOn() && !this.state.suspects().everAnswered(suspect));
		if (harmful && forwarding.request().crashKeys().contains(suspect)) {
			this.attempts.blocked(forwarding, problem(suspect), detail(suspect), nowNanos, commands);
		}
	}

	private static String detail(long suspect) {
		return "The request, or a part of its prompt, made several upstream instances fail: "
				+ Long.toHexString(suspect) + ".";
	}

}
