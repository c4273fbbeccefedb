package org.rattanhead.decision.forward;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.rattanhead.core.Millis;

/**
 * Acts on what instances say of themselves in their answers.
 */
final class NoticeRules {

	/** Longer times end with the incarnation. */
	private static final long MAX_QUIET_MILLIS = TimeUnit.DAYS.toMillis(30);

	/** Spreads the first requests of several daemons after a quiet time. */
	private static final double SPREAD_SHARE = 0.125;

	private static final long MAX_SPREAD_MILLIS = 500;

	private final ForwardState state;

	NoticeRules(ForwardState state) {
		this.state = state;
	}

	/**
	 * Records a notice.
	 * @param event the notice
	 * @param nowNanos the time on the monotonic clock
	 * @return a log entry for each change
	 */
	List<ForwardCommand> noticed(InstanceNoticed event, long nowNanos) {
		List<ForwardCommand> commands = new ArrayList<>();
		Optional<InstanceLoad> load = this.state.fleet().find(event.instance());
		long current = load.map((found) -> found.instance().incarnation()).orElse(Long.MIN_VALUE);
		long incarnation = event.incarnation().orElse(current);
		if (event.notice().leaving() && this.state.fleet().notices().leaves(event.instance(), incarnation)) {
			commands.add(log("instance-leaving", event, incarnation));
		}
		if (event.notice().quietMillis() > 0) {
			long quietMillis = Math.min(MAX_QUIET_MILLIS, event.notice().quietMillis());
			long untilNanos = nowNanos + Millis.toNanos(quietMillis + spreadMillis(quietMillis));
			if (this.state.fleet().notices().quiet(event.instance(), incarnation, untilNanos)) {
				load.filter((found) -> found.instance().incarnation() == incarnation).ifPresent(InstanceLoad::rampUp);
				commands.add(log("instance-quiet", event, incarnation));
			}
		}
		return commands;
	}

	/**
	 * Returns whether a command may be executed: orders to an instance that wants no
	 * requests are left out, since its reservations expire by themselves.
	 * @param command the command
	 * @param nowNanos the time on the monotonic clock
	 * @return false if it is left out
	 */
	boolean permits(ForwardCommand command, long nowNanos) {
		if (command instanceof ReserveTicket reserve) {
			return !quiet(reserve.ticket(), nowNanos);
		}
		return !(command instanceof ReleaseTicket release) || !quiet(release.ticket(), nowNanos);
	}

	private boolean quiet(Ticket ticket, long nowNanos) {
		return this.state.fleet()
			.find(ticket.instance())
			.filter((load) -> nowNanos < this.state.fleet().notices().quietUntilNanos(load.instance()))
			.isPresent();
	}

	private long spreadMillis(long quietMillis) {
		return Math.round(this.state.random().nextDouble() * Math.min(MAX_SPREAD_MILLIS, SPREAD_SHARE * quietMillis));
	}

	private static LogDecision log(String decision, InstanceNoticed event, long incarnation) {
		return new LogDecision(decision, "", "", event.instance(), "said so in an answer",
				List.of(DecisionInput.of("incarnation", incarnation),
						DecisionInput.of("for_ms", event.notice().quietMillis())));
	}

}
