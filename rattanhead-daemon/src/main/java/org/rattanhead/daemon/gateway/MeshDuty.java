package org.rattanhead.daemon.gateway;

import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

import org.rattanhead.core.HandlerTable;
import org.rattanhead.core.forward.CrashReport;
import org.rattanhead.core.forward.LimitReport;
import org.rattanhead.core.forward.LoadEntry;
import org.rattanhead.core.forward.Member;
import org.rattanhead.core.forward.MemberHeartbeat;
import org.rattanhead.core.forward.ServerNotice;
import org.rattanhead.core.keyed.KeyedStream;
import org.rattanhead.core.keyed.StreamUpdate;
import org.rattanhead.decision.forward.ForwardEvent;
import org.rattanhead.decision.forward.PeerContactReported;
import org.rattanhead.decision.forward.PeerCountChanged;
import org.rattanhead.decision.forward.PeerCrashesReceived;
import org.rattanhead.decision.forward.PeerHeartbeatReceived;
import org.rattanhead.decision.forward.PeerLimitsReceived;
import org.rattanhead.decision.forward.PeerLoadEnded;
import org.rattanhead.decision.forward.PeerLoadStarted;
import org.rattanhead.decision.forward.PeerNoticeReceived;
import org.rattanhead.decision.forward.PeerUnresponsive;
import org.rattanhead.decision.forward.PublishHeartbeat;
import org.rattanhead.decision.register.FleetCount;
import org.rattanhead.decision.register.MemberTable;
import org.rattanhead.decision.register.ServingDecider;
import org.rattanhead.peer.mesh.MeshListener;
import org.rattanhead.peer.mesh.MeshNetwork;
import org.rattanhead.platform.keyed.FollowPlans;
import org.rattanhead.ring.Duty;
import org.rattanhead.ring.EventSink;
import org.rattanhead.ring.Urgency;

/**
 * The duty that tracks the other daemons and exchanges datagrams with them.
 */
final class MeshDuty implements MeshListener, AutoCloseable {

	private static final Logger LOGGER = LogManager.getLogger(MeshDuty.class);

	private static final int RING_SLOTS = 4_096;

	private final Member self;

	private final GatewayStatus status;

	private final EventSink<ForwardEvent> decisions;

	private final StreamFollowers followers;

	private final FollowPlans plans;

	private final MemberTable table;

	private final SnapshotSuppliers suppliers;

	private final MeshNetwork network;

	private final Duty<MeshEvent> duty;

	private final ServingDecider servingDecider = new ServingDecider(new Random());

	private final Set<String> peersWithLoad = ConcurrentHashMap.newKeySet();

	private final FleetCount fleetCount = new FleetCount();

	/** The serving daemons whose first heartbeat was passed on, also if it was empty. */
	private final Set<String> reportedPeers = new HashSet<>();

	private PeerCountChanged publishedCount = new PeerCountChanged(1);

	private boolean serving;

	private long heartbeatCount;

	MeshDuty(Member self, InetSocketAddress address, GatewayStatus status, EventSink<ForwardEvent> decisions,
			StreamFollowers followers, FollowPlans plans) {
		this.self = self;
		this.status = status;
		this.decisions = decisions;
		this.followers = followers;
		this.plans = plans;
		this.table = new MemberTable(self);
		this.suppliers = new SnapshotSuppliers(this.table, new Random());
		HandlerTable<MeshEvent, Boolean> handlers = sendHandlers().on(MemberAnnounced.class, (event, now) -> {
			this.table.add(event.member(), now);
			return true;
		})
			.on(HeartbeatReceived.class, (event, now) -> receiveHeartbeat(event.heartbeat(), now))
			.on(SendHeartbeat.class, (event, now) -> heartbeatDue(event, now))
			.on(StreamUpdateReceived.class, (event, now) -> {
				this.followers.receiveUpdate(event.host(), this.table.readsFor(event.host(), this.serving),
						event.update());
				return true;
			})
			.on(SnapshotRequestReceived.class, (event, now) -> {
				this.followers.receiveSnapshotRequest(event.host(), event.stream());
				return true;
			})
			.on(SnapshotReceived.class, (event, now) -> {
				this.followers.receiveSnapshot(event.snapshot());
				return true;
			})
			.on(RequestSnapshot.class, (event, now) -> requestSnapshot(event))
			.on(SendSnapshot.class, (event, now) -> {
				network().sendSnapshot(this.table.find(event.host()).stream().toList(), event.snapshot());
				return true;
			})
			.covering(MeshEvent.class);
		this.network = new MeshNetwork(self.host(), address, this);
		this.duty = new Duty<>("mesh", RING_SLOTS, System::nanoTime, handlers::handle);
	}

	private HandlerTable<MeshEvent, Boolean> sendHandlers() {
		return new HandlerTable<MeshEvent, Boolean>().on(SendLoadStarted.class, (event, now) -> {
			network().sendLoadStarted(this.table.loadRecipients(), event.command().entries());
			return true;
		}).on(SendLoadEnded.class, (event, now) -> {
			network().sendLoadEnded(this.table.loadRecipients(), event.command().keys());
			return true;
		}).on(SendCrashes.class, (event, now) -> {
			network().sendCrashes(this.table.loadRecipients(), event.command().reports());
			return true;
		}).on(SendLimits.class, (event, now) -> {
			network().sendLimits(this.table.loadRecipients(), event.command().reports());
			return true;
		}).on(SendNotice.class, (event, now) -> {
			network().sendNotice(this.table.loadRecipients(), event.command().instance(), event.command().incarnation(),
					event.command().notice());
			return true;
		}).on(SendStreamUpdate.class, (event, now) -> {
			if (this.serving) {
				network().sendStreamUpdate(this.table.recipients(), event.update());
			}
			return this.serving;
		});
	}

	void offer(MeshEvent event) {
		this.duty.offer(event, Urgency.STREAM);
	}

	@Override
	public void onHeartbeat(MemberHeartbeat heartbeat) {
		offer(new HeartbeatReceived(heartbeat));
	}

	@Override
	public void onLoadStarted(String host, List<LoadEntry> entries) {
		this.peersWithLoad.add(host);
		this.decisions.offer(new PeerLoadStarted(host, entries), Urgency.STREAM);
	}

	@Override
	public void onLoadEnded(String host, List<String> keys) {
		this.decisions.offer(new PeerLoadEnded(host, keys), Urgency.STREAM);
	}

	@Override
	public void onCrashes(List<CrashReport> reports) {
		this.decisions.offer(new PeerCrashesReceived(reports), Urgency.CONTROL);
	}

	@Override
	public void onNotice(String instance, long incarnation, ServerNotice notice) {
		this.decisions.offer(new PeerNoticeReceived(instance, incarnation, notice), Urgency.CONTROL);
	}

	@Override
	public void onLimits(List<LimitReport> reports) {
		this.decisions.offer(new PeerLimitsReceived(reports), Urgency.CONTROL);
	}

	@Override
	public void onStreamUpdate(String host, StreamUpdate update) {
		offer(new StreamUpdateReceived(host, update));
	}

	@Override
	public void onSnapshotRequest(String host, KeyedStream stream) {
		offer(new SnapshotRequestReceived(host, stream));
	}

	@Override
	public void onSnapshot(StreamUpdate snapshot) {
		offer(new SnapshotReceived(snapshot));
	}

	private boolean requestSnapshot(RequestSnapshot event) {
		List<Member> asked = this.suppliers.select(event.host());
		// A daemon that has just started may not be known to those that it asks. A daemon
		// that has all records has load that an empty heartbeat would end.
		if (!this.status.loaded()) {
			this.network.sendHeartbeat(asked,
					new MemberHeartbeat(this.self, false, this.serving, 0, List.of(), List.of(), List.of()));
		}
		this.network.sendSnapshotRequest(asked, event.stream());
		return true;
	}

	private MeshNetwork network() {
		return this.network;
	}

	private boolean receiveHeartbeat(MemberHeartbeat heartbeat, long nowNanos) {
		if (!this.table.receiveHeartbeat(heartbeat, nowNanos)) {
			return false;
		}
		if (!this.serving) {
			this.table.receiveReport(heartbeat.servingMembers(), nowNanos);
		}
		this.decisions.offer(new PeerContactReported(heartbeat.member().host(), heartbeat.member().meshAddress(),
				heartbeat.ready(), heartbeat.contactAgeMillis()), Urgency.STREAM);
		boolean empty = heartbeat.load().isEmpty() && heartbeat.crashes().isEmpty() && heartbeat.limits().isEmpty();
		if (!empty) {
			this.peersWithLoad.add(heartbeat.member().host());
		}
		// The first empty heartbeat corrects load left over from lost datagrams, or
		// reports a
		// serving daemon without load; further ones carry no information.
		boolean first = heartbeat.serving() && this.reportedPeers.add(heartbeat.member().host());
		if (!empty || this.peersWithLoad.remove(heartbeat.member().host()) || first) {
			this.decisions.offer(new PeerHeartbeatReceived(heartbeat.member().host(), heartbeat.load(),
					heartbeat.crashes(), heartbeat.limits()), Urgency.STREAM);
		}
		return true;
	}

	private boolean heartbeatDue(SendHeartbeat event, long nowNanos) {
		for (String host : this.table.expire(nowNanos)) {
			LOGGER.info("peer: daemon {} is unresponsive; callers no longer receive its address", host);
			this.peersWithLoad.remove(host);
			this.reportedPeers.remove(host);
			this.decisions.offer(new PeerUnresponsive(host), Urgency.COMPLETION);
		}
		boolean servedBefore = this.serving;
		this.serving = this.table.updateServing(this.servingDecider, nowNanos);
		publishServing(nowNanos);
		this.plans.updateFleetSize(1 + this.table.recipients().size());
		this.heartbeatCount++;
		if (servedBefore != this.serving) {
			LOGGER.info("peer: this daemon {}; {} others serve", this.serving ? "serves" : "stands by",
					this.table.serving().size());
		}
		sendHeartbeat(event.command(), servedBefore);
		return true;
	}

	private void sendHeartbeat(PublishHeartbeat command, boolean servedBefore) {
		List<Member> servingPeers = this.table.serving();
		MemberHeartbeat heartbeat = new MemberHeartbeat(this.self, this.status.ready(), this.serving,
				command.configurationVersion(), command.load(), command.crashes(), List.of(), command.limits(),
				command.contactAgeMillis());
		if (this.serving || servedBefore) {
			this.network.sendHeartbeat(this.table.loadRecipients(), heartbeat);
			if (servedBefore != this.serving || this.heartbeatCount % ServingDecider.SERVER_REPORT_PERIODS == 0) {
				this.network.sendHeartbeat(this.table.assignedStandbys(), heartbeat.withServingMembers(servingPeers));
			}
		}
		else if (this.heartbeatCount % ServingDecider.STANDBY_HEARTBEAT_PERIODS == 0) {
			this.network.sendHeartbeat(this.table.assignedServers(), heartbeat);
		}
	}

	private void publishServing(long nowNanos) {
		List<Member> servingPeers = this.table.serving();
		this.status.updateServing(this.serving, servingPeers);
		int alive = this.table.aliveCount();
		int fleet = this.fleetCount.update(servingPeers.size() + (this.serving ? 1 : 0), alive,
				this.table.recipients().size() + 1, nowNanos);
		PeerCountChanged count = new PeerCountChanged(this.table.sharingCount(),
				this.serving ? this.table.loadRecipients().size() + 1 : 1, fleet);
		if (!count.equals(this.publishedCount)) {
			this.publishedCount = count;
			LOGGER.info("peer: {} daemons share limits, load of {} is received, {} daemons are alive, {} in the fleet",
					count.daemons(), count.heard(), alive, fleet);
			this.decisions.offer(count, Urgency.COMPLETION);
		}
	}

	@Override
	public void close() {
		this.duty.close();
		this.network.close();
	}

}
