package org.rattanhead.decision.forward;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;

import org.rattanhead.core.forward.EngineModel;
import org.rattanhead.core.forward.LoadEntry;
import org.rattanhead.core.forward.Route;
import org.rattanhead.core.forward.RouteKind;
import org.rattanhead.core.forward.ServiceLimits;
import org.rattanhead.core.forward.TokenCounts;
import org.rattanhead.core.forward.UpstreamInstance;

/**
 * Runs the placement of all daemons against fake servers on a virtual clock. Daemons
 * learn of each other's work by heartbeats only, as if all datagrams were lost.
 */
final class BalanceSimulation {

	static final EngineModel ENGINE = new EngineModel(8, 405_000, 34, 1.31, 154, 0.162, 1_266);

	private static final double WARM_UP_MILLIS = 4_000;

	private static final double END_MILLIS = 14_000;

	private static final double WINDOW_MILLIS = 200;

	private static final double TICK_MILLIS = 100;

	private static final int MAX_ATTEMPTS = 3;

	/** The share of the callers that use an old list of addresses. */
	private static final double STANDBY_SHARE = 0.03;

	private final BalanceCase load;

	private final BalanceRule rule;

	private final int gateways;

	private final int serving;

	private final Random random;

	private final ServiceLimits service;

	private final List<UpstreamFleet> fleets = new ArrayList<>();

	private final List<Map<String, LoadEntry>> placed = new ArrayList<>();

	private final Map<String, BalanceServer> servers = new LinkedHashMap<>();

	private final Map<String, Integer> factors = new LinkedHashMap<>();

	private final PriorityQueue<Step> steps = new PriorityQueue<>(Comparator.comparingDouble(Step::millis));

	private final BalanceResult result = new BalanceResult();

	private double nowMillis;

	private int requests;

	BalanceSimulation(BalanceCase load, BalanceRule rule, long seed) {
		this.load = load;
		this.rule = rule;
		this.gateways = (rule == BalanceRule.PERFECT_VIEW) ? 1 : load.gateways();
		this.serving = (rule == BalanceRule.PERFECT_VIEW) ? 1 : load.serving();
		this.random = new Random(seed);
		this.service = new ServiceLimits("s", 0, load.plain() ? Optional.empty() : Optional.of(ENGINE));
		List<UpstreamInstance> instances = IntStream.range(0, load.servers())
			.mapToObj((server) -> new UpstreamInstance("s" + (100 + server), "s", "10.0.0." + server + ":80", "d",
					load.slots(), false, 0, 1))
			.toList();
		for (int server = 0; server < instances.size(); server++) {
			this.servers.put(instances.get(server).id(), new BalanceServer(load.slots()));
			this.factors.put(instances.get(server).id(), load.factor(server));
		}
		for (int gateway = 0; gateway < this.gateways; gateway++) {
			UpstreamFleet fleet = new UpstreamFleet(host(gateway), 1, new Random(gateway));
			fleet.update(instances, 0);
			fleet.daemons(this.serving + ((gateway < this.serving) ? 0 : 1));
			fleet.fleetDaemons(this.gateways);
			this.fleets.add(fleet);
			this.placed.add(new LinkedHashMap<>());
		}
	}

	private static String host(int gateway) {
		return "g" + (100 + gateway);
	}

	BalanceResult run() {
		for (int gateway = 0; gateway < this.gateways; gateway++) {
			int sender = gateway;
			after(this.random.nextDouble() * this.load.viewMillis(), () -> heartbeat(sender, 0));
		}
		after(0, this::arrive);
		after(0, this::tick);
		after(WARM_UP_MILLIS, () -> window(false));
		while (this.nowMillis < END_MILLIS) {
			Step step = this.steps.remove();
			this.nowMillis = step.millis();
			step.action().run();
		}
		return this.result;
	}

	private void after(double millis, Runnable action) {
		this.steps.add(new Step(this.nowMillis + millis, action));
	}

	private long nowNanos() {
		return Math.round(this.nowMillis * 1_000_000);
	}

	private void heartbeat(int sender, int count) {
		List<LoadEntry> entries = List.copyOf(this.placed.get(sender).values());
		for (int receiver = 0; receiver < this.gateways; receiver++) {
			boolean served = receiver < this.serving;
			boolean assigned = Math.floorMod(receiver - sender, this.serving) < 2;
			boolean due = (sender < this.serving) ? served || (assigned && count % 2 == 0)
					: served && Math.floorMod(sender - receiver, this.serving) < 2 && count % 3 == 0;
			if (receiver != sender && due) {
				this.fleets.get(receiver).activity().messageReceived(host(sender), nowNanos());
				this.fleets.get(receiver).replace(host(sender), entries, nowNanos());
			}
		}
		after(this.load.viewMillis(), () -> heartbeat(sender, count + 1));
	}

	private void tick() {
		this.fleets.subList(0, this.serving).forEach((fleet) -> fleet.expire(nowNanos()));
		after(TICK_MILLIS, this::tick);
	}

	private void window(boolean counted) {
		List<Double> work = this.servers.values().stream().map((server) -> server.takeWork(this.nowMillis)).toList();
		if (counted) {
			this.result.window(work);
		}
		after(WINDOW_MILLIS, () -> window(true));
	}

	private void arrive() {
		after(-Math.log(1 - this.random.nextDouble()) / this.load.arrivalsPerMilli(), this::arrive);
		boolean standby = this.gateways > this.serving && this.random.nextDouble() < STANDBY_SHARE;
		int gateway = standby ? this.serving + this.random.nextInt(this.gateways - this.serving)
				: this.random.nextInt(this.serving);
		if (this.nowMillis > WARM_UP_MILLIS) {
			this.result.arrived();
		}
		this.requests++;
		send(gateway, "k" + this.requests, this.nowMillis, new HashSet<>(), 1_000 + this.random.nextInt(8_000),
				(0.5 + this.random.nextDouble()) * this.load.meanMillis());
	}

	private void send(int gateway, String key, double arrivedMillis, Set<String> excluded, int tokens, double millis) {
		UpstreamFleet fleet = this.fleets.get(gateway);
		List<InstanceLoad> candidates = fleet.candidates(this.service, excluded, nowNanos());
		PlacementPlan plan = this.rule
			.place(fleet, this.service, query(tokens, arrivedMillis), candidates, this.random, nowNanos())
			.orElseThrow();
		InstanceLoad primary = plan.primary();
		String id = primary.instance().id();
		BalanceServer server = this.servers.get(id);
		primary.sent(nowNanos());
		if (server.full()) {
			if (this.nowMillis > WARM_UP_MILLIS) {
				this.result.rejected();
			}
			primary.overloaded(nowNanos());
			excluded.add(id);
			if (excluded.size() < MAX_ATTEMPTS) {
				send(gateway, key, arrivedMillis, excluded, tokens, millis);
			}
			return;
		}
		LoadEntry entry = new LoadEntry(key, id, plan.primaryMemoryTokens(), plan.partMillis(),
				this.load.plain() ? 0 : 250, 1.4, 20_000);
		this.placed.get(gateway).put(key, entry);
		fleet.place(host(gateway), entry, nowNanos());
		double sentMillis = this.nowMillis;
		server.accept(() -> start(gateway, entry, plan, arrivedMillis, sentMillis, millis), this.nowMillis);
	}

	private void start(int gateway, LoadEntry entry, PlacementPlan plan, double arrivedMillis, double sentMillis,
			double millis) {
		BalanceServer server = this.servers.get(entry.instance());
		int factor = this.factors.get(entry.instance());
		double readMillis = server.read((double) entry.readMillis() * factor, this.nowMillis) - this.nowMillis;
		double firstMillis = readMillis + (this.load.plain() ? millis * factor : 0);
		after(firstMillis, () -> {
			plan.primary().responseReceived(nowNanos());
			plan.primary().responseTimes().firstData(this.nowMillis - sentMillis, plan.firstTokenMillis(), nowNanos());
		});
		if (this.nowMillis > WARM_UP_MILLIS) {
			this.result.waited(this.nowMillis + readMillis - arrivedMillis);
		}
		after(readMillis + millis * factor, () -> {
			server.finish(this.nowMillis);
			this.placed.get(gateway).remove(entry.key());
			this.fleets.get(gateway).remove(host(gateway), entry.key(), nowNanos());
		});
	}

	private PlacementQuery query(int tokens, double arrivedMillis) {
		Route route = ForwardRig.route("/ask/", RouteKind.STREAM, "s", 2);
		return new PlacementQuery(route, this.service.engine(), new TokenCounts(tokens, 2_000),
				ENGINE.meanAnswerTokens(), Math.round(this.nowMillis - arrivedMillis), true, 1, InstanceLoad::streams,
				false);
	}

	private record Step(double millis, Runnable action) {
	}

}
