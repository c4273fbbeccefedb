package org.rattanhead.daemon.gateway;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

import org.rattanhead.adapter.CallerCodec;
import org.rattanhead.adapter.HttpKeyedStore;
import org.rattanhead.adapter.InstanceCodec;
import org.rattanhead.adapter.PlatformPages;
import org.rattanhead.client.HttpClient;
import org.rattanhead.core.forward.Member;
import org.rattanhead.core.keyed.KeyedStream;
import org.rattanhead.daemon.DrainableService;
import org.rattanhead.daemon.OwnedResources;
import org.rattanhead.decision.forward.ForwardDecider;
import org.rattanhead.decision.forward.ForwardDraining;
import org.rattanhead.decision.forward.ForwardEvent;
import org.rattanhead.decision.forward.GraceEnded;
import org.rattanhead.decision.forward.HeartbeatDue;
import org.rattanhead.decision.forward.ShutdownStarted;
import org.rattanhead.http.forward.ForwardFrontEnd;
import org.rattanhead.http.forward.ForwardSettings;
import org.rattanhead.http.forward.PageContent;
import org.rattanhead.http.forward.ServedPage;
import org.rattanhead.platform.keyed.EraWatch;
import org.rattanhead.platform.keyed.FollowPlans;
import org.rattanhead.platform.keyed.GuardedStore;
import org.rattanhead.platform.keyed.KeyedFollower;
import org.rattanhead.platform.keyed.KeyedListener;
import org.rattanhead.platform.keyed.KeyedStore;
import org.rattanhead.platform.keyed.RecordWriter;
import org.rattanhead.ring.Duty;
import org.rattanhead.ring.Ticker;
import org.rattanhead.ring.Urgency;
import org.rattanhead.upstream.forward.ForwardCallDuty;

/**
 * A daemon that forwards requests to the instances registered on the platform.
 */
public final class Gateway implements DrainableService {

	private static final Logger LOGGER = LogManager.getLogger(Gateway.class);

	private static final int RING_SLOTS = 8_192;

	/** The period of the ticks that also run while idle, to expire old state. */
	private static final long IDLE_TICK_MILLIS = 500;

	/** The period of heartbeats; a daemon that misses three counts as dead. */
	private static final long HEARTBEAT_PERIOD_MILLIS = 700;

	/**
	 * How long new requests are accepted after SIGTERM, while callers may still use the
	 * address of this daemon.
	 */
	private static final long DRAIN_DELAY_MILLIS = 3_000;

	/** The part of the shutdown grace period reserved for closing connections. */
	private static final long CLOSE_MARGIN_MILLIS = 600;

	/** The part of the margin in which the last responses are written. */
	private static final long FINAL_REPLIES_MILLIS = 300;

	/** The part of the margin in which requests that are on their way are refused. */
	private static final long LAST_REFUSALS_MILLIS = 50;

	private static final int MAX_HEADER_BYTES = 32 * 1024;

	private static final long MAX_BODY_BYTES = 16L * 1024 * 1024;

	private static final long HEADER_TIMEOUT_MILLIS = 3_000;

	private static final long BODY_TIMEOUT_MILLIS = 10_000;

	private static final long IDLE_TIMEOUT_MILLIS = 20_000;

	/** Buffers have up to twice the size of their content. */
	private static final int REPLIES_HEAP_DIVISOR = 8;

	private static final int OK = 200;

	private static final int MILLICORES_PER_CORE = 1_000;

	private final GatewaySettings settings;

	private final Member self;

	private final GatewayStatus status;

	private final GatewayMetrics metrics = new GatewayMetrics();

	private final OwnedResources resources = new OwnedResources();

	private final CompletableFuture<GatewayRouter> router = new CompletableFuture<>();

	private final CountDownLatch drained = new CountDownLatch(1);

	private final TickSchedule ticks;

	private final Duty<ForwardEvent> decisions;

	private final ForwardFrontEnd frontEnd;

	private final HttpClient caller;

	private final HttpClient storeCaller;

	private final Ticker ticker;

	/**
	 * Starts a gateway.
	 * @param settings the settings
	 */
	Gateway(GatewaySettings settings) {
		this.settings = settings;
		this.self = new Member(settings.host(), System.currentTimeMillis(), hostAndPort(settings.callersAddress()),
				hostAndPort(settings.meshAddress()), (int) Math.round(MILLICORES_PER_CORE * settings.processorCores()));
		this.status = new GatewayStatus(this.self);
		this.ticker = own(new Ticker("ticker"));
		long replyBytes = Runtime.getRuntime().maxMemory() / REPLIES_HEAP_DIVISOR;
		ForwardDecider decider = new ForwardDecider(settings.host(), settings.limits(), replyBytes, new Random());
		this.decisions = own(
				new Duty<>("forward", RING_SLOTS, System::nanoTime, (event, now) -> handle(decider, event, now)));
		this.ticks = new TickSchedule(this.ticker::after, this.decisions);
		this.caller = own(new HttpClient("calls", 1));
		this.storeCaller = own(new HttpClient("store", 1));
		FollowPlans plans = new FollowPlans();
		StreamFollowers followers = own(new StreamFollowers());
		MeshDuty mesh = own(
				new MeshDuty(this.self, settings.meshAddress(), this.status, this.decisions, followers, plans));
		ForwardCallDuty calls = own(new ForwardCallDuty(this.caller, new InstanceCodec(), this.decisions));
		this.frontEnd = own(
				new ForwardFrontEnd(settings.host(), forwardSettings(), new CallerCodec(), this.decisions, pages()));
		KeyedStore store = new EraWatch(connectStore(), (era) -> followers.eraNamed(era, ""));
		RecordWriter records = new RecordWriter(store, this.ticker::after);
		this.router.complete(new GatewayRouter(this.frontEnd.replies(), calls, mesh, this.metrics, records,
				this::publishReach, this.drained::countDown));
		this.ticker.every(IDLE_TICK_MILLIS, this.ticks::offerTick);
		this.ticker.every(HEARTBEAT_PERIOD_MILLIS, () -> this.decisions.offer(new HeartbeatDue(), Urgency.STREAM));
		MeshStreams peers = new MeshStreams(mesh);
		BiConsumer<KeyedStream, KeyedListener> follow = (stream, listener) -> followers.add(stream, new KeyedFollower(
				store, () -> plans.plan(stream), this.ticker, listener, peers, this.metrics::position));
		follow.accept(KeyedStream.OPERATORS, operatorListener());
		follow.accept(KeyedStream.INSTANCES, new InstanceRecordListener(this.decisions, this.status, System::nanoTime));
		Announcement announcement = new Announcement(this.self,
				() -> records.put(this.self.host(), MemberRecordCodec.encode(this.self)), followers::onPeersKnown);
		follow.accept(KeyedStream.MEMBERS,
				new MemberRecordListener((member) -> mesh.offer(new MemberAnnounced(member)),
						(changes) -> this.decisions.offer(changes, Urgency.COMPLETION),
						new OwnMemberRecords(announcement, records), this.status));
		LOGGER.info("daemon: {} started; callers connect to {}", settings.host(), this.self.callersAddress());
	}

	/**
	 * Shuts down without aborting requests: withdraws readiness, accepts requests until
	 * callers use other addresses, then waits for the running requests. Requests that are
	 * left at the end of the grace period get their final reply.
	 */
	@Override
	public void drain() {
		LOGGER.info("daemon: shutting down; requests are accepted for another {} ms", DRAIN_DELAY_MILLIS);
		long endNanos = System.nanoTime()
				+ TimeUnit.MILLISECONDS.toNanos(this.settings.graceMillis() - CLOSE_MARGIN_MILLIS);
		this.status.startDraining();
		this.frontEnd.replies().closeAfterAnswers();
		this.decisions.offer(new ShutdownStarted(endNanos), Urgency.COMPLETION);
		this.decisions.offer(new HeartbeatDue(), Urgency.CONTROL);
		try {
			TimeUnit.MILLISECONDS.sleep(Math.min(DRAIN_DELAY_MILLIS, this.settings.graceMillis() / 2));
			this.decisions.offer(new ForwardDraining(true), Urgency.COMPLETION);
			if (!this.drained.await(millisUntil(endNanos), TimeUnit.MILLISECONDS)) {
				LOGGER.warn("daemon: requests still run at the end of the grace period; they get their final reply");
				this.decisions.offer(new GraceEnded(), Urgency.COMPLETION);
				this.drained.await(FINAL_REPLIES_MILLIS, TimeUnit.MILLISECONDS);
			}
			boolean written = this.frontEnd.finish(millisUntil(endNanos) + FINAL_REPLIES_MILLIS);
			LOGGER.info("daemon: stopped; {}",
					written ? "every request has ended" : "some responses were not written to the end");
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private static long millisUntil(long nanos) {
		return TimeUnit.NANOSECONDS.toMillis(nanos - System.nanoTime());
	}

	/**
	 * Counts the calls to instances that have not ended.
	 * @return the number
	 */
	int openCalls() {
		return this.caller.openCalls();
	}

	private void handle(ForwardDecider decider, ForwardEvent event, long nowNanos) {
		try {
			this.router.join().route(decider.decide(event, nowNanos), nowNanos);
		}
		finally {
			this.ticks.handled(event, decider.busy());
		}
	}

	private void publishReach(boolean stranded) {
		this.status.updateStranded(stranded);
		this.decisions.offer(new HeartbeatDue(), Urgency.CONTROL);
	}

	private ForwardSettings forwardSettings() {
		return new ForwardSettings(this.settings.callersAddress(), Optional.of(this.settings.meshAddress()),
				MAX_HEADER_BYTES, MAX_BODY_BYTES, HEADER_TIMEOUT_MILLIS, BODY_TIMEOUT_MILLIS, IDLE_TIMEOUT_MILLIS);
	}

	private List<ServedPage> pages() {
		return List.of(PlatformPages.ready(this.settings.readyAddress(), this.status::ready),
				PlatformPages.directory(this.settings.directoryAddress(), this.status::addresses,
						this.settings.addressTtlMillis()),
				new ServedPage(this.settings.metricsAddress(), "/metrics",
						() -> new PageContent(OK, "text/plain; version=0.0.4; charset=utf-8", this.metrics.page())));
	}

	private KeyedListener operatorListener() {
		ConfigurationPublisher publisher = new ConfigurationPublisher(this.decisions, this.status);
		ConfigurationDuty configurations = own(new ConfigurationDuty(publisher::publish));
		return new OperatorRecordListener(this.decisions, configurations::decode, System::nanoTime);
	}

	private KeyedStore connectStore() {
		return new GuardedStore(
				new CountedStore(new HttpKeyedStore(this.storeCaller, this.settings.storeAddress()), this.metrics),
				System::nanoTime, new Random());
	}

	private static String hostAndPort(InetSocketAddress address) {
		return address.getHostString() + ":" + address.getPort();
	}

	private <T extends AutoCloseable> T own(T resource) {
		return this.resources.own(resource);
	}

	/**
	 * Closes the listeners first, so that requests that are on their way on open
	 * connections are still refused.
	 */
	@Override
	public void close() {
		this.frontEnd.stopAccepting();
		try {
			TimeUnit.MILLISECONDS.sleep(LAST_REFUSALS_MILLIS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		this.resources.close();
	}

}
