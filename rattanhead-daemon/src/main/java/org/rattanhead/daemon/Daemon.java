package org.rattanhead.daemon;

import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

import org.rattanhead.client.HttpClient;
import org.rattanhead.core.claim.ClaimVerdict;
import org.rattanhead.decision.CatalogueView;
import org.rattanhead.decision.claim.ClaimPlacement;
import org.rattanhead.decision.edge.EdgeCatalogueChanged;
import org.rattanhead.decision.edge.EdgeDecider;
import org.rattanhead.decision.edge.EdgeEvent;
import org.rattanhead.decision.edge.EdgeGraceEnded;
import org.rattanhead.decision.edge.EdgeMembersChanged;
import org.rattanhead.decision.edge.EdgeShutdown;
import org.rattanhead.decision.edge.EdgeTick;
import org.rattanhead.decision.edge.VerdictReceived;
import org.rattanhead.decision.holder.HolderCatalogueChanged;
import org.rattanhead.decision.holder.HolderDecider;
import org.rattanhead.decision.holder.HolderEvent;
import org.rattanhead.decision.holder.HolderMembersChanged;
import org.rattanhead.decision.holder.HolderShutdown;
import org.rattanhead.decision.holder.HolderTick;
import org.rattanhead.decision.membership.GoodbyeReceived;
import org.rattanhead.decision.membership.Membership;
import org.rattanhead.decision.placement.PlacementPolicies;
import org.rattanhead.http.FrontEnd;
import org.rattanhead.http.FrontEndPages;
import org.rattanhead.peer.PeerNetwork;
import org.rattanhead.platform.HttpHostListService;
import org.rattanhead.platform.HttpLogService;
import org.rattanhead.platform.LogService;
import org.rattanhead.platform.catalogue.CatalogueHistory;
import org.rattanhead.platform.catalogue.CatalogueTail;
import org.rattanhead.platform.claim.ClaimDuty;
import org.rattanhead.ring.Duty;
import org.rattanhead.ring.Ticker;
import org.rattanhead.ring.Urgency;
import org.rattanhead.upstream.UpstreamDuty;

/**
 * A daemon: its duties and the rings between them. Events that arrive before all duties
 * are wired wait in their ring.
 */
public final class Daemon implements DrainableService {

	private static final Logger LOGGER = LogManager.getLogger(Daemon.class);

	private static final int RING_SLOTS = 32_768;

	private static final int IO_THREADS = 2;

	/** How long the last answers may take to be written at the end of a shutdown. */
	private static final long FINAL_ANSWERS_MILLIS = 500;

	private static final long TICK_MILLIS = 25;

	private static final long CLAIM_TICK_MILLIS = 10;

	private final DaemonSettings settings;

	private final DaemonStatus status = new DaemonStatus();

	private final DaemonMetrics metrics = new DaemonMetrics(() -> this.status.catalogue().offset());

	private final CountDownLatch edgeDrained = new CountDownLatch(1);

	private final CountDownLatch holderDrained = new CountDownLatch(1);

	private final OwnedResources resources = new OwnedResources();

	private final CompletableFuture<EdgeRouter> edgeRouter = new CompletableFuture<>();

	private final CompletableFuture<HolderRouter> holderRouter = new CompletableFuture<>();

	private final Duty<EdgeEvent> edge;

	private final Duty<HolderEvent> holder;

	private final MembershipDuty membership;

	private final PeerNetwork network;

	private final PeerDuty peers;

	private final FrontEnd frontEnd;

	private final ClaimDuty claims;

	/**
	 * Starts a daemon.
	 * @param settings the settings
	 */
	public Daemon(DaemonSettings settings) {
		this.settings = settings;
		String self = settings.host();
		EdgeDecider edgeDecider = new EdgeDecider(PlacementPolicies.leastWork(), new Random(self.hashCode()));
		HolderDecider holderDecider = new HolderDecider(self);
		HttpClient platformCaller = own(new HttpClient("platform", 1));
		HttpClient upstreamCaller = own(new HttpClient("upstream", IO_THREADS));
		this.edge = own(new Duty<>("edge", RING_SLOTS, System::nanoTime, (event, now) -> edgeDecider.decide(event, now)
			.forEach((command) -> this.edgeRouter.join().route(command, now))));
		this.holder = own(
				new Duty<>("holder", RING_SLOTS, System::nanoTime, (event, now) -> holderDecider.decide(event, now)
					.forEach((command) -> this.holderRouter.join().route(command, now))));
		this.membership = own(new MembershipDuty(self,
				new HttpHostListService(platformCaller, settings.hostListAddress()), this::membershipChanged));
		LogService log = new HttpLogService(platformCaller, settings.logServiceAddress());
		this.claims = own(new ClaimDuty(log, settings.claimBatch(), this::sendVerdict));
		this.network = own(new PeerNetwork(settings.peers(),
				new PeerEventRouter(this.edge, this.holder, this.membership, this.claims, this.status)));
		this.peers = own(new PeerDuty(this.network, this.edge));
		UpstreamDuty upstreams = own(new UpstreamDuty(upstreamCaller, this.holder, this.metrics::countCrossedAnswer));
		this.frontEnd = own(new FrontEnd(self, settings.callers(), this.edge, pages(), this.metrics));
		DeliveryDuty delivery = own(new DeliveryDuty(this.frontEnd.answers(), this.edge));
		this.edgeRouter.complete(new EdgeRouter(self, this.edge, this.holder, this.peers, this.claims, delivery,
				this.metrics, this.edgeDrained::countDown));
		this.holderRouter.complete(new HolderRouter(self, this.edge, this.holder, this.peers, upstreams, this.status,
				this.metrics, this.holderDrained::countDown));
		this.metrics.registerPeerBytes(this.network::sentBytes);
		this.metrics.registerRings(List.of(this.edge, this.holder, this.membership.duty(), this.peers.duty(),
				this.claims.duty(), upstreams.duty(), delivery.duty()));
		startTicker(log);
		LOGGER.info("daemon: {} serves callers at {}", self, settings.callers().listenAddress());
	}

	/**
	 * Shuts down without aborting requests: announces the shutdown, waits until callers
	 * use other addresses, refuses new work, and waits for running requests. Requests
	 * that are left at the end of the wait get their final answer.
	 */
	@Override
	public void drain() {
		LOGGER.info("daemon: shutting down; new work is accepted for another {} ms", this.settings.drainDelayMillis());
		this.status.startDraining();
		this.network.sendGoodbye();
		this.membership.offer(new GoodbyeReceived(this.settings.host()), Urgency.CONTROL);
		try {
			TimeUnit.MILLISECONDS.sleep(this.settings.drainDelayMillis());
			this.edge.offer(new EdgeShutdown(), Urgency.CONTROL);
			if (!this.edgeDrained.await(this.settings.drainTimeoutMillis(), TimeUnit.MILLISECONDS)) {
				LOGGER.warn("daemon: some requests still run after {} ms and get their final answer;"
						+ " raise drain-timeout to wait longer", this.settings.drainTimeoutMillis());
				this.edge.offer(new EdgeGraceEnded(), Urgency.CONTROL);
				this.edgeDrained.await(FINAL_ANSWERS_MILLIS, TimeUnit.MILLISECONDS);
			}
			this.holder.offer(new HolderShutdown(), Urgency.CONTROL);
			if (!this.holderDrained.await(this.settings.drainTimeoutMillis(), TimeUnit.MILLISECONDS)) {
				LOGGER.warn("daemon: some work of other daemons still runs and is cancelled");
			}
			boolean written = this.frontEnd.finish(FINAL_ANSWERS_MILLIS);
			LOGGER.info("daemon: stopped; {}",
					written ? "every request has ended" : "some answers were not written to the end");
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	/**
	 * Returns whether the daemon accepts new work.
	 * @return true if the catalogue and the members are loaded and no shutdown has
	 * started
	 */
	public boolean ready() {
		return this.status.ready();
	}

	private FrontEndPages pages() {
		return new FrontEndPages(this.status::catalogue, this.status::membership, this.status::ready,
				this.metrics::page, () -> StatusPage.encode(this.settings.host(), this.status));
	}

	private void startTicker(LogService log) {
		Ticker ticker = own(new Ticker("ticker"));
		ticker.every(TICK_MILLIS, () -> this.edge.offer(new EdgeTick(), Urgency.STREAM));
		ticker.every(TICK_MILLIS, () -> this.holder.offer(new HolderTick(), Urgency.STREAM));
		ticker.every(CLAIM_TICK_MILLIS, this.claims::tick);
		this.membership.start(ticker);
		own(new CatalogueTail(log, ticker, this::catalogueChanged));
	}

	private void catalogueChanged(CatalogueHistory history) {
		CatalogueView view = new CatalogueView(history.catalogue());
		this.status.catalogue(history.catalogue());
		this.edge.offer(new EdgeCatalogueChanged(view), Urgency.CONTROL);
		this.holder.offer(new HolderCatalogueChanged(view), Urgency.CONTROL);
	}

	private void sendVerdict(String toHost, ClaimVerdict verdict) {
		if (toHost.equals(this.settings.host())) {
			this.edge.offer(new VerdictReceived(toHost, verdict), Urgency.CONTROL);
		}
		else {
			this.peers.sendVerdict(toHost, verdict);
		}
	}

	private void membershipChanged(Membership next) {
		for (int shard = 0; shard < ClaimPlacement.SHARDS; shard++) {
			boolean writer = ClaimPlacement.writer(shard, next.members())
				.filter((host) -> host.name().equals(this.settings.host()))
				.isPresent();
			this.claims.setWriter(shard, writer);
		}
		this.status.membership(next);
		this.peers.updatePeers(next.peers());
		this.edge.offer(new EdgeMembersChanged(next.members(), next.leavingUpstreams()), Urgency.CONTROL);
		this.holder.offer(new HolderMembersChanged(next.members(), next.leavingUpstreams()), Urgency.CONTROL);
	}

	private <T extends AutoCloseable> T own(T resource) {
		return this.resources.own(resource);
	}

	@Override
	public void close() {
		this.resources.close();
	}

}
