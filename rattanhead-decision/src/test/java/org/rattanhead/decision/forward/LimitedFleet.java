package org.rattanhead.decision.forward;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.BiPredicate;

import org.rattanhead.core.Millis;
import org.rattanhead.core.Payload;
import org.rattanhead.core.forward.AnswerHead;
import org.rattanhead.core.forward.AnswerVerdict;
import org.rattanhead.core.forward.Configuration;
import org.rattanhead.core.forward.ForwardCall;
import org.rattanhead.core.forward.ForwardRequest;
import org.rattanhead.core.forward.ServerNotice;
import org.rattanhead.core.forward.ServiceLimits;
import org.rattanhead.core.forward.UpstreamInstance;
import org.rattanhead.core.forward.WorkspaceGrant;
import org.rattanhead.core.request.RequestId;

/**
 * Several daemons on a virtual clock, before servers of one service that name limits in
 * their answers. Datagrams may be late or lost.
 */
final class LimitedFleet {

	private static final long STEP_MILLIS = 5;

	private static final long TICK_MILLIS = 20;

	private static final long HEARTBEAT_MILLIS = 700;

	private static final long ANSWER_MILLIS = 30;

	private final VirtualSchedule schedule = new VirtualSchedule();

	private final Map<String, ForwardDecider> daemons = new TreeMap<>();

	private final Map<String, UpstreamInstance> servers = new TreeMap<>();

	private final Map<String, OptionalDouble> limits = new TreeMap<>();

	private final Map<String, List<Long>> arrivals = new TreeMap<>();

	private final double coldPerSecond;

	private final Random random;

	private final List<Long> refusalMillis = new ArrayList<>();

	private final Map<RequestId, Long> submittedMillis = new TreeMap<>((a, b) -> a.value().compareTo(b.value()));

	private BiPredicate<String, String> connected = (sender, receiver) -> true;

	private long delayMillis = 1;

	private double lostShare;

	private double requestsPerSecond = 60;

	private int served;

	private int failed;

	LimitedFleet(int daemons, int servers, long seed) {
		this(daemons, servers, 0, seed);
	}

	/**
	 * Creates a fleet before warm servers.
	 * @param daemons the number of daemons
	 * @param servers the number of servers
	 * @param coldPerSecond the requests a second that a cold server sustains, 0 if
	 * unlimited
	 * @param seed the seed
	 */
	LimitedFleet(int daemons, int servers, double coldPerSecond, long seed) {
		this.coldPerSecond = coldPerSecond;
		this.random = new Random(seed);
		for (int index = 0; index < servers; index++) {
			UpstreamInstance instance = ForwardRig.instance("o" + index, ForwardRig.ORDERS, index, false);
			this.servers.put(instance.id(), instance);
			name(instance.id(), OptionalDouble.empty());
		}
		for (int index = 0; index < daemons; index++) {
			start("d" + index);
		}
		count(daemons, daemons);
	}

	void start(String host) {
		this.daemons.put(host, new ForwardDecider(host, new ForwardLimits(0.2, 100, 10_000, 20_000, 17, 1),
				new Random(this.random.nextInt())));
		handle(host, new ConfigurationApplied(configuration()));
		handle(host, new InstancesChanged(List.copyOf(this.servers.values())));
	}

	void stop(String host) {
		this.daemons.remove(host);
		hosts().forEach((other) -> handle(other, new PeerUnresponsive(host)));
	}

	/**
	 * Tells all daemons how many share limits.
	 * @param sharing the daemons that share them
	 * @param heard those that each one hears
	 */
	void count(int sharing, int heard) {
		hosts().forEach((host) -> handle(host, new PeerCountChanged(sharing, heard, sharing)));
	}

	void connect(BiPredicate<String, String> newConnected) {
		this.connected = newConnected;
	}

	void disturb(long newDelayMillis, double newLostShare) {
		this.delayMillis = newDelayMillis;
		this.lostShare = newLostShare;
	}

	void demand(double newRequestsPerSecond) {
		this.requestsPerSecond = newRequestsPerSecond;
	}

	/**
	 * Changes what a server names from now on and forgets its arrivals.
	 * @param id the server
	 * @param perSecond the limit, empty for none
	 */
	void name(String id, OptionalDouble perSecond) {
		this.limits.put(id, perSecond);
		this.arrivals.put(id, new ArrayList<>());
	}

	/**
	 * Starts a server again, with a new incarnation.
	 * @param id the server
	 * @param coldMillis how long it is cold
	 */
	void restart(String id, long coldMillis) {
		UpstreamInstance before = this.servers.get(id);
		this.servers.put(id, new UpstreamInstance(id, before.service(), before.address(), before.failureDomain(),
				before.slots(), false, coldMillis, before.incarnation() + 1));
		hosts().forEach((host) -> handle(host, new InstancesChanged(List.copyOf(this.servers.values()))));
	}

	List<String> hosts() {
		return List.copyOf(this.daemons.keySet());
	}

	/**
	 * Lets time pass under load.
	 * @param millis the time, in milliseconds
	 */
	void advance(long millis) {
		for (long endMillis = this.schedule.nowMillis() + millis; this.schedule.nowMillis() < endMillis;) {
			this.schedule.advance(STEP_MILLIS);
			if (this.random.nextDouble() < this.requestsPerSecond * STEP_MILLIS / 1_000) {
				submit(hosts().get(this.random.nextInt(this.daemons.size())));
			}
			for (String host : hosts()) {
				// The daemons do not tick at the same moments.
				long phaseMillis = STEP_MILLIS * Math.floorMod(host.hashCode(), TICK_MILLIS / STEP_MILLIS);
				if ((this.schedule.nowMillis() + phaseMillis) % TICK_MILLIS == 0) {
					handle(host, new ForwardTick());
				}
				if ((this.schedule.nowMillis() + phaseMillis) % HEARTBEAT_MILLIS == 0) {
					handle(host, new HeartbeatDue());
				}
			}
		}
	}

	/**
	 * Returns the most arrivals at a server in any window.
	 * @param id the server
	 * @param windowMillis the length of the window, in milliseconds
	 * @return the number
	 */
	int mostArrivals(String id, long windowMillis) {
		List<Long> times = this.arrivals.get(id);
		int most = 0;
		for (int newest = 0, oldest = 0; newest < times.size(); newest++) {
			while (times.get(newest) - times.get(oldest) >= windowMillis) {
				oldest++;
			}
			most = Math.max(most, newest - oldest + 1);
		}
		return most;
	}

	int arrivals(String id) {
		return this.arrivals.get(id).size();
	}

	void forget() {
		this.arrivals.values().forEach(List::clear);
		this.refusalMillis.clear();
		this.served = 0;
		this.failed = 0;
	}

	int served() {
		return this.served;
	}

	int failed() {
		return this.failed;
	}

	long slowestRefusalMillis() {
		return this.refusalMillis.stream().mapToLong(Long::longValue).max().orElse(0);
	}

	private Configuration configuration() {
		Configuration base = ForwardRig.configuration(1);
		return new Configuration(1, base.routes(),
				Map.of(ForwardRig.ORDERS, new ServiceLimits(ForwardRig.ORDERS, this.coldPerSecond, Optional.empty()),
						ForwardRig.ENGINES, base.services().get(ForwardRig.ENGINES)),
				true, Map.of(ForwardRig.KEY, new WorkspaceGrant("atelier", 1)), 16_384, 4_096);
	}

	private void submit(String host) {
		RequestId id = new RequestId(host + "-" + this.submittedMillis.size());
		this.submittedMillis.put(id, this.schedule.nowMillis());
		handle(host,
				new ForwardSubmitted(new ForwardRequest(id, id.value(), "POST", "host", "/look/x", "/look/x", List.of(),
						Payload.of("body"), OptionalLong.of(8_000), Optional.of(ForwardRig.KEY), Optional.empty(),
						OptionalLong.empty(), Optional.empty(), this.random.nextLong(), List.of())));
	}

	private void handle(String host, ForwardEvent event) {
		ForwardDecider daemon = this.daemons.get(host);
		if (daemon != null) {
			daemon.decide(event, Millis.toNanos(this.schedule.nowMillis()))
				.forEach((command) -> execute(host, command));
		}
	}

	private void execute(String host, ForwardCommand command) {
		if (command instanceof CallInstance call) {
			call(host, call.call());
		}
		else if (command instanceof RefuseRequest refusal) {
			this.refusalMillis.add(this.schedule.nowMillis() - this.submittedMillis.get(refusal.request()));
			this.failed += (refusal.problem().retryAfterMillis() > 0) ? 0 : 1;
		}
		else if (command instanceof FinishReply) {
			this.served++;
		}
		else if (command instanceof PublishHeartbeat heartbeat) {
			send(host, new PeerHeartbeatReceived(host, heartbeat.load(), heartbeat.crashes(), heartbeat.limits()));
		}
		else if (command instanceof PublishLimits limitsChanged) {
			send(host, new PeerLimitsReceived(limitsChanged.reports()));
		}
		else if (command instanceof PublishLoadStarted started) {
			send(host, new PeerLoadStarted(host, started.entries()));
		}
		else if (command instanceof PublishLoadEnded ended) {
			send(host, new PeerLoadEnded(host, ended.keys()));
		}
	}

	private void send(String sender, ForwardEvent event) {
		for (String host : hosts()) {
			if (!host.equals(sender) && this.connected.test(sender, host)
					&& this.random.nextDouble() >= this.lostShare) {
				this.schedule.after(1 + this.random.nextLong(this.delayMillis), () -> handle(host, event));
			}
		}
	}

	private void call(String host, ForwardCall call) {
		String id = call.instance().id();
		this.arrivals.get(id).add(this.schedule.nowMillis());
		OptionalDouble limit = this.limits.get(id);
		this.schedule.after(ANSWER_MILLIS, () -> {
			if (limit.isPresent()) {
				handle(host, new InstanceNoticed(id, OptionalLong.of(call.instance().incarnation()),
						new ServerNotice(false, 0, limit)));
			}
			handle(host, new AttemptAnswered(call.attempt(),
					new AnswerHead(200, List.of(), AnswerVerdict.RUN, false, true, "", limit)));
			handle(host, new AttemptFinished(call.attempt()));
		});
	}

}
