package org.rattanhead.decision.forward;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

import org.rattanhead.core.forward.EngineModel;

/**
 * Places prompts on engines by predicted cost: what the caller loses if the first token
 * is late, and what running streams lose if the engine reads in between. Short prompts
 * fill the engines from one end of the list and long ones from the other, so that they
 * rarely meet.
 */
final class EnginePlacement {

	/** Prompts that take longer to read alone are read in parts, in milliseconds. */
	private static final double WHOLE_READ_MILLIS = 180;

	/**
	 * The most helpers that an engine takes for one prompt, from the published protocol.
	 */
	private static final int MAX_HELPERS = 16;

	/**
	 * Engines with a longer backlog do not take parts, so that long prompts do not wait
	 * for each other, in milliseconds.
	 */
	private static final double IDLE_BACKLOG_MILLIS = 40;

	/** The cost of the last free slot, which another daemon may take at the same time. */
	private static final double LAST_SLOT_COST = 0.3;

	/** The part of the target after which an answer is planned as late, for variance. */
	private static final double TARGET_SHARE = 0.9;

	/** The part of the worth that is lost with a late answer. */
	private static final double LATE_LOSS = 0.75;

	/** What waiting costs within the target, as a part of the worth. */
	private static final double WAIT_COST = 0.1;

	/**
	 * What a place in the list costs short prompts, to fill engines one after the other.
	 */
	private static final double ORDER_COST = 0.6;

	/** What a full batch costs, as it slows every stream in it. */
	private static final double CROWD_COST = 0.5;

	/**
	 * What an engine without a free slot costs, since the prompt then waits for a whole
	 * answer.
	 */
	private static final double NO_SLOT_COST = 4;

	/** What too little memory costs, since the engine then drops the newest prompt. */
	private static final double NO_MEMORY_COST = 6;

	/** What a helper costs besides its reading. */
	private static final double HELPER_COST = 0.02;

	/**
	 * The part of an engine's memory that is planned with, since answers grow unforeseen.
	 */
	private static final double MEMORY_SHARE = 0.9;

	/** Time for both ways to the engine and for the daemon, in milliseconds. */
	private static final double TRANSFER_MILLIS = 10;

	private EnginePlacement() {
	}

	static Optional<PlacementPlan> place(PlacementQuery query, List<InstanceLoad> candidates, long nowNanos) {
		if (candidates.isEmpty()) {
			return Optional.empty();
		}
		EngineModel engine = query.engine().orElseThrow();
		double wholeMillis = engine.readMillis(query.tokens().promptTokens());
		if (readWhole(engine, query.tokens().promptTokens())) {
			return Optional.of(whole(query, engine, wholeMillis, candidates, nowNanos));
		}
		return Optional.of(parts(query, engine, wholeMillis, candidates, nowNanos));
	}

	static boolean readWhole(EngineModel engine, long promptTokens) {
		return engine.readMillis(promptTokens) <= WHOLE_READ_MILLIS;
	}

	/**
	 * Estimates the time to read a prompt if all engines were idle.
	 * @param engine the figures of an engine
	 * @param promptTokens the prompt, in tokens
	 * @param engines the engines
	 * @return the time, in milliseconds
	 */
	static double leastReadMillis(EngineModel engine, long promptTokens, int engines) {
		return engine.readMillis(promptTokens) / Math.max(1, Math.min(engines, MAX_HELPERS + 1));
	}

	private static PlacementPlan whole(PlacementQuery query, EngineModel engine, double readMillis,
			List<InstanceLoad> candidates, long nowNanos) {
		InstanceLoad best = null;
		double bestFirstMillis = 0;
		double bestCost = Double.MAX_VALUE;
		for (int index = 0; index < candidates.size(); index++) {
			InstanceLoad load = candidates.get(index);
			double firstMillis = load.backlogMillis(nowNanos) + readMillis + engine.passMillis() + TRANSFER_MILLIS;
			double cost = lateCost(query, firstMillis) + load.harm(readMillis, engine.passMillis(), nowNanos)
					+ crowdCost(query, engine, load, query.memoryTokens()) + ORDER_COST * index / candidates.size();
			if (cost < bestCost) {
				bestCost = cost;
				best = load;
				bestFirstMillis = firstMillis;
			}
		}
		return new PlacementPlan(best, List.of(), bestFirstMillis, Math.round(readMillis), query.memoryTokens(), 0);
	}

	private static PlacementPlan parts(PlacementQuery query, EngineModel engine, double wholeMillis,
			List<InstanceLoad> candidates, long nowNanos) {
		List<InstanceLoad> idle = candidates.stream()
			.filter((load) -> load.backlogMillis(nowNanos) <= IDLE_BACKLOG_MILLIS)
			.toList();
		List<InstanceLoad> readers = idle.isEmpty() ? candidates : idle;
		PlacementPlan best = null;
		double bestCost = Double.MAX_VALUE;
		int most = Math.min(readers.size(), MAX_HELPERS + 1);
		SpareEngines spare = SpareEngines.of(engine, candidates, nowNanos);
		for (int count = 1; count <= most; count++) {
			double partMillis = wholeMillis / count;
			List<InstanceLoad> chosen = cheapest(engine, partMillis, readers, count, nowNanos);
			double harm = spare.cost(count, partMillis);
			double backlogMillis = 0;
			for (InstanceLoad load : chosen) {
				harm += load.harm(partMillis, engine.passMillis(), nowNanos);
				backlogMillis = Math.max(backlogMillis, load.backlogMillis(nowNanos));
			}
			double firstMillis = backlogMillis + partMillis + engine.passMillis() + TRANSFER_MILLIS;
			InstanceLoad first = roomiest(engine, chosen);
			double cost = HELPER_COST * (count - 1) + harm + lateCost(query, firstMillis)
					+ ownGapCost(query, engine, partMillis)
					+ crowdCost(query, engine, first, memoryOnFirst(query, engine, count));
			if (cost < bestCost) {
				bestCost = cost;
				best = plan(query, engine, first, chosen, firstMillis, partMillis, harm);
			}
		}
		return best;
	}

	private static double ownGapCost(PlacementQuery query, EngineModel engine, double partMillis) {
		// A long part delays the streams that will start beside it before it is read.
		return WAIT_COST * partMillis / Math.max(engine.passMillis(), query.route().targetGapMillis());
	}

	private static long memoryOnFirst(PlacementQuery query, EngineModel engine, int count) {
		return (query.memoryTokens() <= engine.memoryTokens()) ? query.memoryTokens() : query.memoryTokens() / count;
	}

	private static List<InstanceLoad> cheapest(EngineModel engine, double partMillis, List<InstanceLoad> candidates,
			int count, long nowNanos) {
		List<InstanceLoad> reversed = new ArrayList<>(candidates);
		Collections.reverse(reversed);
		reversed.sort(Comparator.comparingDouble((load) -> load.harm(partMillis, engine.passMillis(), nowNanos)
				+ WAIT_COST * load.backlogMillis(nowNanos) / Math.max(1, partMillis)));
		return reversed.subList(0, count);
	}

	private static InstanceLoad roomiest(EngineModel engine, List<InstanceLoad> chosen) {
		return chosen.stream()
			.min(Comparator.comparingDouble((load) -> load.writers() / (double) engine.slots()
					+ load.usedTokens() / (double) Math.max(1, engine.memoryTokens())))
			.orElseThrow();
	}

	private static PlacementPlan plan(PlacementQuery query, EngineModel engine, InstanceLoad first,
			List<InstanceLoad> chosen, double firstMillis, double partMillis, double harm) {
		List<PlannedHelper> helpers = new ArrayList<>();
		long partTokens = query.tokens().promptTokens() / chosen.size();
		long firstTokens = query.memoryTokens();
		long roomTokens = room(engine, first);
		for (InstanceLoad load : chosen) {
			if (load != first) {
				long ticketTokens = (firstTokens > roomTokens) ? Math.min(partTokens, room(engine, load)) : 0;
				firstTokens -= ticketTokens;
				helpers.add(new PlannedHelper(load, ticketTokens));
			}
		}
		return new PlacementPlan(first, helpers, firstMillis, Math.round(partMillis), firstTokens, harm);
	}

	private static long room(EngineModel engine, InstanceLoad load) {
		return Math.max(0, (long) (MEMORY_SHARE * engine.memoryTokens()) - load.usedTokens());
	}

	private static double lateCost(PlacementQuery query, double sinceNowMillis) {
		double target = Math.max(1, query.route().targetLatencyMillis());
		double firstMillis = query.elapsedMillis() + sinceNowMillis;
		double late = (firstMillis > TARGET_SHARE * target) ? LATE_LOSS * query.worth() : 0;
		return late + WAIT_COST * query.worth() * firstMillis / target;
	}

	private static double crowdCost(PlacementQuery query, EngineModel engine, InstanceLoad load, long memoryTokens) {
		double share = load.writers() / (double) Math.max(1, engine.slots());
		double cost = CROWD_COST * share * share * share * share;
		if (load.writers() == engine.slots() - 1) {
			cost += LAST_SLOT_COST * query.worth();
		}
		if (load.writers() >= engine.slots()) {
			cost += NO_SLOT_COST * query.worth();
		}
		if (load.usedTokens() + memoryTokens > engine.memoryTokens()) {
			cost += NO_MEMORY_COST * query.worth();
		}
		return cost;
	}

}
