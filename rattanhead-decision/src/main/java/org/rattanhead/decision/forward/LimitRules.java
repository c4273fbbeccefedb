package org.rattanhead.decision.forward;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;

import org.rattanhead.core.forward.AnswerHead;
import org.rattanhead.core.forward.AnswerVerdict;
import org.rattanhead.core.forward.LimitReport;
import org.rattanhead.core.forward.UpstreamInstance;
import org.rattanhead.decision.limit.InstanceTurns;

/**
 * Acts on the limits that instances name in their answers, or that other daemons report.
 */
final class LimitRules {

	private final ForwardState state;

	private final InstanceTurns turns;

	LimitRules(ForwardState state) {
		this.state = state;
		this.turns = state.fleet().turns();
	}

	/**
	 * Records the limit of an answer of any age.
	 * @param event what the instance said
	 * @param nowNanos the time on the monotonic clock
	 * @return a log entry and a report to the other daemons if the limit changed
	 */
	List<ForwardCommand> noticed(InstanceNoticed event, long nowNanos) {
		OptionalDouble perSecond = event.notice().limitPerSecond();
		Optional<UpstreamInstance> instance = this.state.fleet()
			.find(event.instance())
			.map(InstanceLoad::instance)
			.filter((found) -> found.incarnation() == event.incarnation().orElse(found.incarnation()));
		if (perSecond.isEmpty() || instance.isEmpty() || !this.turns.named(event.instance(),
				instance.get().incarnation(), perSecond.getAsDouble(), nowNanos)) {
			return List.of();
		}
		return changed(instance.get(), nowNanos);
	}

	/**
	 * Records what the answer to a current attempt says.
	 * @param forwarding the request
	 * @param head the head of the answer
	 * @param nowNanos the time on the monotonic clock
	 * @param commands receives a log entry and a report to the other daemons if the limit
	 * changed
	 */
	void answered(Forwarding forwarding, AnswerHead head, long nowNanos, List<ForwardCommand> commands) {
		UpstreamInstance instance = forwarding.plan().primary().instance();
		boolean own = !forwarding.plan().relayed()
				&& (head.verdict() == AnswerVerdict.RUN || head.verdict() == AnswerVerdict.NOT_RUN);
		if (own && this.turns.answered(instance, head.limitPerSecond(), forwarding.sentNanos(), nowNanos)) {
			commands.addAll(changed(instance, nowNanos));
		}
	}

	/**
	 * Records what other daemons know.
	 * @param reports the reports
	 * @param nowNanos the time on the monotonic clock
	 * @return a log entry for each change
	 */
	List<ForwardCommand> reported(List<LimitReport> reports, long nowNanos) {
		List<ForwardCommand> commands = new ArrayList<>();
		for (LimitReport report : reports) {
			if (this.turns.reported(report, nowNanos)) {
				commands.add(log(report, "reported by a peer"));
			}
		}
		return commands;
	}

	/**
	 * Lists what this daemon knows of the limits of registered instances.
	 * @param nowNanos the time on the monotonic clock
	 * @return the reports
	 */
	List<LimitReport> reports(long nowNanos) {
		return this.state.fleet()
			.all()
			.stream()
			.map((load) -> this.turns.report(load.instance(), nowNanos))
			.flatMap(Optional::stream)
			.toList();
	}

	/**
	 * Counts the orders for memory, which instances receive as requests.
	 * @param commands the commands of this daemon
	 * @param nowNanos the time on the monotonic clock
	 */
	void countOrders(List<ForwardCommand> commands, long nowNanos) {
		for (ForwardCommand command : commands) {
			if (command instanceof ReserveTicket order) {
				this.state.fleet()
					.find(order.ticket().instance())
					.ifPresent((load) -> this.turns.started(load.instance(), nowNanos));
			}
		}
	}

	private List<ForwardCommand> changed(UpstreamInstance instance, long nowNanos) {
		LimitReport report = this.turns.report(instance, nowNanos).orElseThrow();
		return List.of(log(report, "said so in an answer"), new PublishLimits(List.of(report)));
	}

	private static LogDecision log(LimitReport report, String source) {
		String perSecond = report.perSecond().isPresent() ? Double.toString(report.perSecond().getAsDouble()) : "none";
		return new LogDecision("instance-limit", "", "", report.instance(), source, List
			.of(DecisionInput.of("incarnation", report.incarnation()), DecisionInput.of("per_second", perSecond)));
	}

}
