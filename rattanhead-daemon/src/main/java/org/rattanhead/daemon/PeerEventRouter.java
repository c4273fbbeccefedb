package org.rattanhead.daemon;

import java.util.List;

import org.rattanhead.core.claim.ClaimOrder;
import org.rattanhead.core.claim.ClaimVerdict;
import org.rattanhead.core.upstream.UpstreamDigest;
import org.rattanhead.core.work.SubmitWork;
import org.rattanhead.core.work.WorkChunk;
import org.rattanhead.core.work.WorkOrder;
import org.rattanhead.core.work.WorkSignal;
import org.rattanhead.decision.edge.DigestsReceived;
import org.rattanhead.decision.edge.EdgeEvent;
import org.rattanhead.decision.edge.PeerLost;
import org.rattanhead.decision.edge.SignalReceived;
import org.rattanhead.decision.edge.VerdictReceived;
import org.rattanhead.decision.holder.EntryDaemonLost;
import org.rattanhead.decision.holder.HolderEvent;
import org.rattanhead.decision.holder.OrderReceived;
import org.rattanhead.decision.membership.GoodbyeReceived;
import org.rattanhead.decision.membership.LinkDown;
import org.rattanhead.decision.membership.LinkUp;
import org.rattanhead.decision.membership.MembershipEvent;
import org.rattanhead.peer.PeerListener;
import org.rattanhead.platform.claim.ClaimDuty;
import org.rattanhead.ring.EventSink;
import org.rattanhead.ring.Urgency;

/**
 * Dispatches messages from other daemons to the rings of the duties.
 *
 * @param edge the ring of the edge
 * @param holder the ring of the lease holder
 * @param membership the ring of membership
 * @param claims the writer of claims
 * @param status the status that contains the last digests
 */
record PeerEventRouter(EventSink<EdgeEvent> edge, EventSink<HolderEvent> holder, EventSink<MembershipEvent> membership,
		ClaimDuty claims, DaemonStatus status) implements PeerListener {

	@Override
	public void onLinkUp(String host) {
		this.membership.offer(new LinkUp(host), Urgency.CONTROL);
	}

	@Override
	public void onLinkDown(String host) {
		this.status.removeDigests(host);
		this.membership.offer(new LinkDown(host), Urgency.CONTROL);
		this.edge.offer(new PeerLost(host), Urgency.CONTROL);
	}

	@Override
	public void onEntryDaemonLost(String host) {
		this.holder.offer(new EntryDaemonLost(host), Urgency.CONTROL);
	}

	@Override
	public void onGoodbye(String host) {
		this.membership.offer(new GoodbyeReceived(host), Urgency.CONTROL);
	}

	@Override
	public boolean onOrder(String host, WorkOrder order) {
		Urgency urgency = (order instanceof SubmitWork) ? Urgency.NEW_WORK : Urgency.CONTROL;
		return this.holder.offer(new OrderReceived(host, order), urgency);
	}

	@Override
	public boolean onSignal(String host, WorkSignal signal) {
		Urgency urgency = (signal instanceof WorkChunk) ? Urgency.STREAM : Urgency.CONTROL;
		return this.edge.offer(new SignalReceived(host, signal), urgency);
	}

	@Override
	public boolean onClaimOrder(String host, ClaimOrder order) {
		return this.claims.submit(host, order);
	}

	@Override
	public boolean onVerdict(String host, ClaimVerdict verdict) {
		return this.edge.offer(new VerdictReceived(host, verdict), Urgency.CONTROL);
	}

	@Override
	public void onDigests(String host, List<UpstreamDigest> digests) {
		this.status.digests(host, digests);
		this.edge.offer(new DigestsReceived(host, digests), Urgency.STREAM);
	}

}
