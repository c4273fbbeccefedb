package org.rattanhead.daemon;

import org.rattanhead.core.HandlerTable;
import org.rattanhead.core.claim.AcquireClaim;
import org.rattanhead.core.claim.ClaimOutcome;
import org.rattanhead.core.claim.ClaimVerdict;
import org.rattanhead.core.problem.Problem;
import org.rattanhead.core.problem.ProblemKind;
import org.rattanhead.core.work.SubmitWork;
import org.rattanhead.core.work.WorkFailed;
import org.rattanhead.decision.edge.AbortAnswer;
import org.rattanhead.decision.edge.CountEdgeEvent;
import org.rattanhead.decision.edge.EdgeCommand;
import org.rattanhead.decision.edge.EdgeDrained;
import org.rattanhead.decision.edge.EdgeEvent;
import org.rattanhead.decision.edge.EndAnswer;
import org.rattanhead.decision.edge.SendClaimOrder;
import org.rattanhead.decision.edge.SendOrder;
import org.rattanhead.decision.edge.SendProblem;
import org.rattanhead.decision.edge.SignalReceived;
import org.rattanhead.decision.edge.StartAnswer;
import org.rattanhead.decision.edge.VerdictReceived;
import org.rattanhead.decision.edge.WriteAnswer;
import org.rattanhead.decision.holder.HolderEvent;
import org.rattanhead.decision.holder.OrderReceived;
import org.rattanhead.platform.claim.ClaimDuty;
import org.rattanhead.ring.EventSink;
import org.rattanhead.ring.Urgency;

/**
 * Executes the commands of the edge: passes orders to the duty of this daemon or to the
 * daemon that they are addressed to, and replies to the delivery duty.
 */
final class EdgeRouter {

	private final String ownHost;

	private final EventSink<EdgeEvent> edge;

	private final EventSink<HolderEvent> holder;

	private final PeerDuty peers;

	private final ClaimDuty claims;

	private final HandlerTable<EdgeCommand, Boolean> routes;

	EdgeRouter(String ownHost, EventSink<EdgeEvent> edge, EventSink<HolderEvent> holder, PeerDuty peers,
			ClaimDuty claims, DeliveryDuty delivery, DaemonMetrics metrics, Runnable onDrained) {
		this.ownHost = ownHost;
		this.edge = edge;
		this.holder = holder;
		this.peers = peers;
		this.claims = claims;
		this.routes = new HandlerTable<EdgeCommand, Boolean>()
			.on(SendOrder.class, (command, now) -> routeOrder(command))
			.on(SendClaimOrder.class, (command, now) -> routeClaimOrder(command))
			.on(WriteAnswer.class, (command, now) -> Actions.done(() -> delivery.write(command)))
			.on(StartAnswer.class, (command, now) -> Actions.done(() -> delivery.deliver(command)))
			.on(EndAnswer.class, (command, now) -> Actions.done(() -> delivery.deliver(command)))
			.on(SendProblem.class, (command, now) -> Actions.done(() -> delivery.deliver(command)))
			.on(AbortAnswer.class, (command, now) -> Actions.done(() -> delivery.deliver(command)))
			.on(CountEdgeEvent.class, (command, now) -> Actions.done(() -> metrics.count(command)))
			.on(EdgeDrained.class, (command, now) -> Actions.done(onDrained))
			.covering(EdgeCommand.class);
	}

	void route(EdgeCommand command, long nowNanos) {
		this.routes.handle(command, nowNanos);
	}

	private boolean routeOrder(SendOrder command) {
		if (!command.toHost().equals(this.ownHost)) {
			this.peers.sendOrder(command.toHost(), command.order());
			return true;
		}
		boolean submit = command.order() instanceof SubmitWork;
		boolean accepted = this.holder.offer(new OrderReceived(this.ownHost, command.order()),
				submit ? Urgency.NEW_WORK : Urgency.CONTROL);
		if (!accepted && submit) {
			Problem problem = Problem.notRun(ProblemKind.OVERLOADED, "The queue of the lease holder is full.");
			this.edge.offer(new SignalReceived(this.ownHost, new WorkFailed(command.order().attempt(), problem)),
					Urgency.CONTROL);
		}
		return accepted;
	}

	private boolean routeClaimOrder(SendClaimOrder command) {
		if (!command.toHost().equals(this.ownHost)) {
			this.peers.sendClaimOrder(command.toHost(), command.order());
			return true;
		}
		boolean accepted = this.claims.submit(this.ownHost, command.order());
		if (!accepted && command.order() instanceof AcquireClaim) {
			ClaimVerdict verdict = ClaimVerdict.of(command.order().request(), ClaimOutcome.UNAVAILABLE);
			this.edge.offer(new VerdictReceived(this.ownHost, verdict), Urgency.CONTROL);
		}
		return accepted;
	}

}
