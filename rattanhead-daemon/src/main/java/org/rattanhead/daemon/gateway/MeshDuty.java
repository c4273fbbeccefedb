package org.rattanhead.daemon.gateway;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

import org.rattanhead.core.HandlerTable;
import org.rattanhead.core.forward.LoadEntry;
import org.rattanhead.core.forward.Member;
import org.rattanhead.core.forward.MemberHeartbeat;
import org.rattanhead.core.keyed.StreamUpdate;
import org.rattanhead.decision.forward.ForwardEvent;
import org.rattanhead.decision.forward.PeerCountChanged;
import org.rattanhead.decision.forward.PeerHeartbeatReceived;
import org.rattanhead.decision.forward.PeerLoadEnded;
import org.rattanhead.decision.forward.PeerLoadStarted;
import org.rattanhead.decision.forward.PeerUnresponsive;
import org.rattanhead.decision.forward.PublishHeartbeat;
import org.rattanhead.decision.register.MemberTable;
import org.rattanhead.decision.register.ServingDecider;
import org.rattanhead.peer.mesh.MeshListener;
import org.rattanhead.peer.mesh.MeshNetwork;
import org.rattanhead.ring.Duty;
import org.rattanhead.ring.EventSink;
import org.rattanhead.ring.Urgency;

/**
 * The duty that knows the other daemons and talks to them.
 */
final class MeshDuty implements MeshListener, AutoCloseable {

	private static final Logger LOGGER = LogManager.getLogger(MeshDuty.class);

	private static final int RING_SLOTS = 4_096;

	private final Member self;

	private final GatewayBoard board;

	private final EventSink<ForwardEvent> decisions;

	private final StreamFollowers followers;

	private final MemberTable table;

	private final MeshNetwork network;

	private final Duty<MeshEvent> duty;

	private final ServingDecider turn = new ServingDecider(new Random());

	private final Set<String> loaded = ConcurrentHashMap.newKeySet();

	private int counted = 1;

	private boolean serving;

	private long beats;

	MeshDuty(Member self, InetSocketAddress address, GatewayBoard board, EventSink<ForwardEvent> decisions,
			StreamFollowers followers) {
		this.self = self;
		this.board = board;
		this.decisions = decisions;
		this.followers = followers;
		this.table = new MemberTable(self.host());
		HandlerTable<MeshEvent, Boolean> handlers = new HandlerTable<MeshEvent, Boolean>()
			.on(MemberLearned.class, (event, now) -> {
				this.table.add(event.member(), now);
				return true;
			})
			.on(BeatArrived.class, (event, now) -> beatArrived(event.beat(), now))
			.on(BeatToSend.class, (event, now) -> beat(event, now))
			.on(LoadToTell.class, (event, now) -> {
				network().sendLoadStarted(this.table.serving(), event.command().entries());
				return true;
			})
			.on(LoadEndToTell.class, (event, now) -> {
				network().sendLoadEnded(this.table.serving(), event.command().keys());
				return true;
			})
			.on(NewsToTell.class, (event, now) -> {
				if (this.serving) {
					network().sendStreamUpdate(this.table.recipients(), event.news());
				}
				return this.serving;
			})
			.on(NewsArrived.class, (event, now) -> {
				this.followers.tell(this.table.readsFor(event.host(), this.serving), event.news());
				return true;
			})
			.covering(MeshEvent.class);
		this.network = new MeshNetwork(self.host(), address, this);
		this.duty = new Duty<>("mesh", RING_SLOTS, System::nanoTime, handlers::handle);
	}

	void offer(MeshEvent event) {
		this.duty.offer(event, Urgency.STREAM);
	}

	@Override
	public void onHeartbeat(MemberHeartbeat beat) {
		offer(new BeatArrived(beat));
	}

	@Override
	public void onLoadStarted(String host, List<LoadEntry> entries) {
		this.loaded.add(host);
		this.decisions.offer(new PeerLoadStarted(host, entries), Urgency.STREAM);
	}

	@Override
	public void onLoadEnded(String host, List<String> keys) {
		this.decisions.offer(new PeerLoadEnded(host, keys), Urgency.STREAM);
	}

	@Override
	public void onStreamUpdate(String host, StreamUpdate news) {
		offer(new NewsArrived(host, news));
	}

	private MeshNetwork network() {
		return this.network;
	}

	private boolean beatArrived(MemberHeartbeat beat, long nowNanos) {
		if (!this.table.receiveHeartbeat(beat, nowNanos)) {
			return false;
		}
		if (!this.serving) {
			beat.servingMembers().forEach((member) -> this.table.addReported(member, nowNanos));
		}
		boolean empty = beat.load().isEmpty() && beat.crashes().isEmpty();
		if (!empty) {
			this.loaded.add(beat.member().host());
		}
		// The first empty beat makes up for lost datagrams; those after it tell nothing.
		if (!empty || this.loaded.remove(beat.member().host())) {
			this.decisions.offer(new PeerHeartbeatReceived(beat.member().host(), beat.load(), beat.crashes()),
					Urgency.STREAM);
		}
		return true;
	}

	private boolean beat(BeatToSend event, long nowNanos) {
		for (String host : this.table.expire(nowNanos)) {
			LOGGER.info("peer: daemon {} is silent and no longer named to callers", host);
			this.loaded.remove(host);
			this.decisions.offer(new PeerUnresponsive(host), Urgency.CONTROL);
		}
		boolean before = this.serving;
		this.serving = this.table.updateServing(this.turn, nowNanos);
		publish();
		this.beats++;
		if (before != this.serving) {
			LOGGER.info("peer: this daemon {}; {} others serve", this.serving ? "serves" : "stands by",
					this.table.serving().size());
		}
		send(event.command(), before);
		return true;
	}

	private void send(PublishHeartbeat told, boolean servedBefore) {
		List<Member> servers = this.table.serving();
		MemberHeartbeat beat = new MemberHeartbeat(this.self, this.board.ready(), this.serving,
				told.configurationVersion(), told.load(), told.crashes(), List.of());
		if (this.serving || servedBefore) {
			this.network.sendHeartbeat(servers, beat);
			this.network.sendHeartbeat(this.table.assignedStandbys(), beat.withServingMembers(servers));
		}
		else if (this.beats % ServingDecider.STANDBY_HEARTBEAT_PERIODS == 0) {
			this.network.sendHeartbeat(this.table.assignedServers(), beat);
		}
	}

	private void publish() {
		this.board.serving(this.serving, this.table.serving());
		int sharing = this.table.sharingCount();
		if (sharing != this.counted) {
			this.counted = sharing;
			LOGGER.info("peer: {} daemons share limits, {} daemons are alive", sharing, this.table.aliveCount());
			this.decisions.offer(new PeerCountChanged(sharing), Urgency.CONTROL);
		}
	}

	@Override
	public void close() {
		this.duty.close();
		this.network.close();
	}

}
