package org.rattanhead.decision.forward;

import java.util.ArrayList;
import java.util.Collections;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.random.RandomGenerator;

import org.rattanhead.core.forward.EngineModel;
import org.rattanhead.core.forward.ServiceLimits;
import org.rattanhead.decision.balance.ActiveSet;
import org.rattanhead.decision.balance.CandidateDraw;
import org.rattanhead.decision.balance.LoadEstimate;
import org.rattanhead.decision.balance.ServiceActivity;

/**
 * Places requests evenly although the view of the other daemons' work is stale. Short
 * prompts are offered to few instances of the active set, by the cost model of
 * {@link EnginePlacement}. Long prompts prefer engines outside of it.
 */
final class EvenPlacement implements InstancePlacement {

	/** Share of the slots that streams fill on each engine they need. */
	private static final double SLOT_SHARE = 0.75;

	/** Engines with a longer backlog read a long prompt and get no short ones. */
	private static final double LONG_READ_MILLIS = 180;

	/**
	 * Weight of a call that this daemon sent to a plain server in the last second, so
	 * that it uses the servers in turn.
	 */
	private static final double TURN_WEIGHT = 0.1;

	/**
	 * The time over which others' calls in the view fade. With the mean duration of a
	 * call, twice as many were rejected with views up to 100 ms old, since all daemons
	 * avoid the same servers.
	 */
	private static final double CALL_FADE_MILLIS = ServicePlacement.USUAL_MILLIS / 3;

	private final UpstreamFleet fleet;

	private final ServiceLimits service;

	private final RandomGenerator random;

	EvenPlacement(UpstreamFleet fleet, ServiceLimits service, RandomGenerator random) {
		this.fleet = fleet;
		this.service = service;
		this.random = random;
	}

	@Override
	public Optional<PlacementPlan> place(PlacementQuery query, List<InstanceLoad> candidates, long nowNanos) {
		if (candidates.isEmpty()) {
			return Optional.empty();
		}
		ServiceActivity activity = this.fleet.activity(this.service, nowNanos);
		long ageMillis = Math.round(activity.ageMillis());
		if (query.engine().isEmpty() || query.tokens().promptTokens() == 0) {
			return Optional.of(placeCall(activity, candidates, nowNanos).selectedFrom(ageMillis, candidates.size()));
		}
		return placePrompt(query, query.engine().get(), activity, candidates, nowNanos)
			.map((plan) -> plan.selectedFrom(ageMillis, plan.candidates()));
	}

	private Optional<PlacementPlan> placePrompt(PlacementQuery query, EngineModel engine, ServiceActivity activity,
			List<InstanceLoad> candidates, long nowNanos) {
		List<InstanceLoad> all = this.fleet.accepting(this.service, nowNanos);
		boolean[] usable = new boolean[all.size()];
		int[] own = new int[usable.length];
		int[] others = new int[usable.length];
		int ownTotal = 0;
		int othersTotal = 0;
		int found = 0;
		for (int index = 0; index < usable.length; index++) {
			InstanceLoad load = all.get(index);
			// Both lists are in the order of the ids.
			boolean candidate = found < candidates.size() && candidates.get(found) == load;
			found += candidate ? 1 : 0;
			usable[index] = candidate && load.backlogMillis(nowNanos) <= LONG_READ_MILLIS;
			own[index] = load.requests(true);
			others[index] = load.requests(false);
			ownTotal += own[index];
			othersTotal += others[index];
		}
		LoadEstimate estimate = new ActiveSet(engine.slots(), SLOT_SHARE,
				engine.meanAnswerTokens() * engine.stepMillis())
			.estimate(usable, ownTotal, othersTotal, activity);
		double[] loads = new double[usable.length];
		for (int index = 0; index < loads.length; index++) {
			loads[index] = estimate.load(index, own[index], others[index]);
		}
		boolean single = EnginePlacement.isSingleRead(engine, query.tokens().promptTokens());
		List<Integer> drawn = single ? CandidateDraw.draw(estimate, loads, usable, this.random) : List.of();
		List<InstanceLoad> offered = single ? drawn.stream().map(all::get).toList()
				: idleLast(all.subList(0, estimate.active()), candidates);
		Map<InstanceLoad, Double> streams = new IdentityHashMap<>();
		drawn.forEach((index) -> streams.put(all.get(index), loads[index]));
		for (int index = 0; drawn.isEmpty() && index < loads.length; index++) {
			streams.put(all.get(index), loads[index]);
		}
		List<InstanceLoad> chosen = offered.isEmpty() ? candidates : offered;
		return EnginePlacement.place(query.spread(streams::get), chosen, nowNanos)
			.map((plan) -> plan.selectedFrom(0, chosen.size()));
	}

	/**
	 * Orders engines for a long prompt, which prefers the last ones among equals.
	 * @param activeSet the engines that short prompts use
	 * @param candidates the engines that may be used
	 * @return the candidates, those outside of the active set last and in random order
	 */
	private List<InstanceLoad> idleLast(List<InstanceLoad> activeSet, List<InstanceLoad> candidates) {
		Set<InstanceLoad> active = Collections.newSetFromMap(new IdentityHashMap<>());
		active.addAll(activeSet);
		List<InstanceLoad> ordered = new ArrayList<>();
		List<InstanceLoad> idle = new ArrayList<>();
		candidates.forEach((load) -> (active.contains(load) ? ordered : idle).add(load));
		Collections.shuffle(idle, new Random(this.random.nextLong()));
		ordered.addAll(idle);
		return ordered;
	}

	private PlacementPlan placeCall(ServiceActivity activity, List<InstanceLoad> candidates, long nowNanos) {
		double remaining = activity.remaining(CALL_FADE_MILLIS);
		InstanceLoad best = candidates.get(0);
		double bestCost = Double.MAX_VALUE;
		for (InstanceLoad load : candidates) {
			double requests = load.requests(true) + load.requests(false) * remaining + 1;
			double cost = (requests * load.responseTimes().pace(nowNanos) + TURN_WEIGHT * load.sentLately(nowNanos)
					+ TURN_WEIGHT / 2 * this.random.nextDouble()) / Math.max(1, load.instance().slots());
			if (cost < bestCost) {
				bestCost = cost;
				best = load;
			}
		}
		return ServicePlacement.plan(best);
	}

}
