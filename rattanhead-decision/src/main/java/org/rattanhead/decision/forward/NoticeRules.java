package org.rattanhead.decision.forward;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.rattanhead.core.Millis;
import org.rattanhead.core.forward.ServerNotice;

/**
 * Acts on what instances say of themselves in their answers.
 */
final class NoticeRules {

	/** Longer times end with the incarnation. */
	private static final long MAX_QUIET_MILLIS = 30L * 24 * 60 * 60 * 1_000;

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
			commands
				.add(log("instance-leaving", event.instance(), incarnation, event.notice(), "said so in an answer"));
		}
		if (event.notice().quietMillis() > 0) {
			long quietMillis = Math.min(MAX_QUIET_MILLIS, event.notice().quietMillis());
			long untilNanos = nowNanos + Millis.toNanos(quietMillis + spreadMillis(quietMillis));
			if (this.state.fleet().notices().quiet(event.instance(), incarnation, untilNanos)) {
				load.filter((found) -> found.instance().incarnation() == incarnation).ifPresent(InstanceLoad::rampUp);
				commands
					.add(log("instance-quiet", event.instance(), incarnation, event.notice(), "said so in an answer"));
			}
		}
		if (!commands.isEmpty()) {
			commands.add(new PublishNotice(event.instance(), incarnation, event.notice()));
		}
		return commands;
	}

	/**
	 * Records a notice that another daemon received. Leaving binds here too; a time
	 * without requests binds only the daemon that was asked for it, and the others prefer
	 * other instances.
	 * @param event the notice
	 * @param nowNanos the time on the monotonic clock
	 * @return a log entry for each change
	 */
	List<ForwardCommand> receivedFromPeer(PeerNoticeReceived event, long nowNanos) {
		long quietMillis = Math.min(MAX_QUIET_MILLIS, event.notice().quietMillis());
		this.state.fleet()
			.find(event.instance())
			.filter((load) -> quietMillis > 0 && load.instance().incarnation() == event.incarnation())
			.ifPresent((load) -> load.avoidUntil(nowNanos + Millis.toNanos(quietMillis)));
		if (event.notice().leaving() && this.state.fleet().notices().leaves(event.instance(), event.incarnation())) {
			return List.of(log("instance-leaving", event.instance(), event.incarnation(), event.notice(),
					"reported by a peer"));
		}
		return List.of();
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

	private static LogDecision log(String decision, String instance, long incarnation, ServerNotice notice,
			String source) {
		return new LogDecision(decision, "", "", instance, source, List.of(DecisionInput.of("incarnation", incarnation),
				DecisionInput.of("for_ms", notice.quietMillis())));
	}

}
