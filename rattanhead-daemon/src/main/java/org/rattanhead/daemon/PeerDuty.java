package org.rattanhead.daemon;

import java.util.List;

import org.rattanhead.core.HandlerTable;
import org.rattanhead.core.claim.AcquireClaim;
import org.rattanhead.core.claim.ClaimOrder;
import org.rattanhead.core.claim.ClaimOutcome;
import org.rattanhead.core.claim.ClaimVerdict;
import org.rattanhead.core.host.Host;
import org.rattanhead.core.problem.Problem;
import org.rattanhead.core.problem.ProblemKind;
import org.rattanhead.core.upstream.UpstreamDigest;
import org.rattanhead.core.work.SubmitWork;
import org.rattanhead.core.work.WorkChunk;
import org.rattanhead.core.work.WorkFailed;
import org.rattanhead.core.work.WorkOrder;
import org.rattanhead.core.work.WorkSignal;
import org.rattanhead.decision.edge.EdgeEvent;
import org.rattanhead.decision.edge.SignalReceived;
import org.rattanhead.decision.edge.VerdictReceived;
import org.rattanhead.peer.PeerNetwork;
import org.rattanhead.ring.Duty;
import org.rattanhead.ring.EventSink;
import org.rattanhead.ring.Urgency;

/**
 * The duty that sends messages to other daemons.
 */
final class PeerDuty implements AutoCloseable {

	private static final int RING_SLOTS = 32_768;

	private static final long RETRY_AFTER_MILLIS = 1_000;

	private final PeerNetwork network;

	private final EventSink<EdgeEvent> edge;

	private final Duty<PeerTask> duty;

	PeerDuty(PeerNetwork network, EventSink<EdgeEvent> edge) {
		this.network = network;
		this.edge = edge;
		HandlerTable<PeerTask, Boolean> handlers = new HandlerTable<PeerTask, Boolean>()
			.on(OrderToPeer.class, (task, now) -> send(task, now))
			.on(SignalToPeer.class, (task, now) -> send(task))
			.on(ClaimOrderToPeer.class, (task, now) -> send(task, now))
			.on(VerdictToPeer.class, (task, now) -> this.network.send(task.host(), task.verdict()))
			.on(DigestsToPeers.class, (task, now) -> publish(task.digests()))
			.on(PeersChanged.class, (task, now) -> keepLinks(task.hosts()))
			.covering(PeerTask.class);
		this.duty = new Duty<>("peer-out", RING_SLOTS, System::nanoTime, handlers::handle);
	}

	void sendOrder(String host, WorkOrder order) {
		Urgency urgency = (order instanceof SubmitWork) ? Urgency.NEW_WORK : Urgency.CONTROL;
		if (!this.duty.offer(new OrderToPeer(host, order), urgency)) {
			reportUnsent(host, order);
		}
	}

	void sendSignal(String host, WorkSignal signal) {
		Urgency urgency = (signal instanceof WorkChunk) ? Urgency.STREAM : Urgency.CONTROL;
		if (!this.duty.offer(new SignalToPeer(host, signal), urgency)) {
			this.network.disconnect(host);
		}
	}

	void sendClaimOrder(String host, ClaimOrder order) {
		if (!this.duty.offer(new ClaimOrderToPeer(host, order), Urgency.CONTROL)) {
			reportUnsent(host, order);
		}
	}

	void sendVerdict(String host, ClaimVerdict verdict) {
		this.duty.offer(new VerdictToPeer(host, verdict), Urgency.CONTROL);
	}

	void publishDigests(List<UpstreamDigest> digests) {
		this.duty.offer(new DigestsToPeers(digests), Urgency.STREAM);
	}

	void updatePeers(List<Host> hosts) {
		this.duty.offer(new PeersChanged(hosts), Urgency.CONTROL);
	}

	Duty<?> duty() {
		return this.duty;
	}

	private boolean send(OrderToPeer task, long nowNanos) {
		boolean sent = this.network.send(task.host(), task.order(), nowNanos);
		if (!sent) {
			reportUnsent(task.host(), task.order());
		}
		return sent;
	}

	private boolean send(SignalToPeer task) {
		boolean sent = this.network.send(task.host(), task.signal());
		if (!sent) {
			this.network.disconnect(task.host());
		}
		return sent;
	}

	private boolean send(ClaimOrderToPeer task, long nowNanos) {
		boolean sent = this.network.send(task.host(), task.order(), nowNanos);
		if (!sent) {
			reportUnsent(task.host(), task.order());
		}
		return sent;
	}

	private boolean publish(List<UpstreamDigest> digests) {
		this.network.publish(digests);
		return true;
	}

	private boolean keepLinks(List<Host> hosts) {
		this.network.setHosts(hosts);
		return true;
	}

	private void reportUnsent(String host, WorkOrder order) {
		if (order instanceof SubmitWork) {
			Problem problem = Problem.notRun(ProblemKind.NO_UPSTREAM, "Daemon '" + host + "' cannot be reached.",
					RETRY_AFTER_MILLIS);
			this.edge.offer(new SignalReceived(host, new WorkFailed(order.attempt(), problem)), Urgency.CONTROL);
		}
	}

	private void reportUnsent(String host, ClaimOrder order) {
		if (order instanceof AcquireClaim) {
			ClaimVerdict verdict = ClaimVerdict.of(order.request(), ClaimOutcome.UNAVAILABLE);
			this.edge.offer(new VerdictReceived(host, verdict), Urgency.CONTROL);
		}
	}

	@Override
	public void close() {
		this.duty.close();
	}

}
