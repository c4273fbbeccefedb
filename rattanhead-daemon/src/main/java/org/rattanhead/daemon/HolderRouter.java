package org.rattanhead.daemon;

import java.util.List;

import org.rattanhead.core.HandlerTable;
import org.rattanhead.core.problem.Problem;
import org.rattanhead.core.problem.ProblemKind;
import org.rattanhead.core.upstream.UpstreamDigest;
import org.rattanhead.core.work.CancelWork;
import org.rattanhead.core.work.WorkChunk;
import org.rattanhead.core.work.WorkFailed;
import org.rattanhead.decision.edge.DigestsReceived;
import org.rattanhead.decision.edge.EdgeEvent;
import org.rattanhead.decision.edge.SignalReceived;
import org.rattanhead.decision.holder.AbortCall;
import org.rattanhead.decision.holder.CallUpstream;
import org.rattanhead.decision.holder.CountHolderEvent;
import org.rattanhead.decision.holder.HolderCommand;
import org.rattanhead.decision.holder.HolderDrained;
import org.rattanhead.decision.holder.HolderEvent;
import org.rattanhead.decision.holder.OrderReceived;
import org.rattanhead.decision.holder.PollLoad;
import org.rattanhead.decision.holder.PublishDigests;
import org.rattanhead.decision.holder.SendSignal;
import org.rattanhead.ring.EventSink;
import org.rattanhead.ring.Urgency;
import org.rattanhead.upstream.UpstreamDuty;

/**
 * Dispatches the commands of the lease holder to the rings of other duties.
 */
final class HolderRouter {

	private final String self;

	private final EventSink<EdgeEvent> edge;

	private final EventSink<HolderEvent> holder;

	private final PeerDuty peers;

	private final DaemonStatus status;

	private final HandlerTable<HolderCommand, Boolean> routes;

	HolderRouter(String self, EventSink<EdgeEvent> edge, EventSink<HolderEvent> holder, PeerDuty peers,
			UpstreamDuty upstreams, DaemonStatus status, DaemonMetrics metrics, Runnable onDrained) {
		this.self = self;
		this.edge = edge;
		this.holder = holder;
		this.peers = peers;
		this.status = status;
		this.routes = new HandlerTable<HolderCommand, Boolean>()
			.on(CallUpstream.class, (command, now) -> Actions.done(() -> upstreams.call(command)))
			.on(AbortCall.class, (command, now) -> Actions.done(() -> upstreams.abort(command)))
			.on(PollLoad.class, (command, now) -> Actions.done(() -> upstreams.poll(command)))
			.on(SendSignal.class, (command, now) -> routeSignal(command))
			.on(PublishDigests.class, (command, now) -> publishDigests(command.digests()))
			.on(CountHolderEvent.class, (command, now) -> Actions.done(() -> metrics.count(command)))
			.on(HolderDrained.class, (command, now) -> Actions.done(onDrained))
			.covering(HolderCommand.class);
	}

	void route(HolderCommand command, long nowNanos) {
		this.routes.handle(command, nowNanos);
	}

	private boolean routeSignal(SendSignal command) {
		if (!command.toHost().equals(this.self)) {
			this.peers.sendSignal(command.toHost(), command.signal());
			return true;
		}
		Urgency urgency = (command.signal() instanceof WorkChunk) ? Urgency.STREAM : Urgency.CONTROL;
		boolean accepted = this.edge.offer(new SignalReceived(this.self, command.signal()), urgency);
		if (!accepted) {
			cancelAttempt(command);
		}
		return accepted;
	}

	private void cancelAttempt(SendSignal command) {
		Problem problem = Problem.failed(ProblemKind.OVERLOADED, "The daemon could not pass the answer on in time.");
		this.holder.offer(new OrderReceived(this.self, new CancelWork(command.signal().attempt())), Urgency.CONTROL);
		this.edge.offer(new SignalReceived(this.self, new WorkFailed(command.signal().attempt(), problem)),
				Urgency.CONTROL);
	}

	private boolean publishDigests(List<UpstreamDigest> digests) {
		this.status.digests(this.self, digests);
		this.edge.offer(new DigestsReceived(this.self, digests), Urgency.STREAM);
		this.peers.publishDigests(digests);
		return true;
	}

}
