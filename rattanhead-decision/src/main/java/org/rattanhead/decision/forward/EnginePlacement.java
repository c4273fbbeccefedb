package org.rattanhead.decision.forward;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

import org.rattanhead.core.forward.EngineModel;

/**
 * Places prompts on engines by predicted cost: the worth lost if the first token is late,
 * plus the worth that running streams lose while the engine reads the prompt. Short
 * prompts fill the engines from the start of the list and long prompts from the end, to
 * keep them apart. A daemon that does not know the work of the others yet spreads short
 * prompts instead, since all daemons would fill the same engines.
 */
final class EnginePlacement {

	/** Prompts that one engine reads in more time are split across helpers. */
	private static final double MAX_SINGLE_READ_MILLIS = 180;

	/** The protocol limit of helpers for one prompt. */
	static final int MAX_HELPERS = 16;

	/**
	 * Engines with a longer backlog receive no parts, so that long prompts do not wait
	 * for each other.
	 */
	private static final double IDLE_BACKLOG_MILLIS = 40;

	/** Cost of the last free slot, which another daemon may fill at the same time. */
	private static final double LAST_SLOT_COST = 0.3;

	/**
	 * Share of the target latency above which a plan counts as late; the rest allows for
	 * variance.
	 */
	private static final double TARGET_SHARE = 0.9;

	/** Share of the worth lost with a late first token. */
	private static final double LATE_LOSS = 0.75;

	/** Cost of waiting for the full target latency, as a share of the worth. */
	private static final double WAIT_COST = 0.1;

	/** Cost of a part on an engine that takes twice the predicted time. */
	private static final double SLOW_READ_COST = 1;

	/** Cost of the list position for short prompts, so that engines fill up in order. */
	private static final double POSITION_COST = 0.6;

	/**
	 * Cost of the streams on an engine for short prompts that are placed evenly, as a
	 * share of the slots. It outweighs small differences of the other costs, by which all
	 * daemons would choose the same engine.
	 */
	private static final double STREAM_COST = 2;

	/** Cost of a full batch, which slows every stream in it. */
	private static final double FULL_BATCH_COST = 0.5;

	/**
	 * Cost of an engine without a free slot, for each request that has to complete before
	 * the prompt is admitted.
	 */
	private static final double NO_SLOT_COST = 4;

	/** Cost of exceeding the memory; the engine then drops the newest prompt. */
	private static final double NO_MEMORY_COST = 6;

	/**
	 * The pass that makes the first event, and half of the pass in progress before it.
	 */
	private static final double PASSES = 1.5;

	/** Fixed cost of each helper. */
	private static final double HELPER_COST = 0.02;

	/**
	 * Share of the engine memory that plans may use; responses can exceed their expected
	 * length.
	 */
	private static final double MEMORY_SHARE = 0.9;

	/** Round trip to the engine plus processing in the daemon. */
	private static final double TRANSFER_MILLIS = 10;

	private EnginePlacement() {
	}

	static Optional<PlacementPlan> place(PlacementQuery query, List<InstanceLoad> candidates, long nowNanos) {
		if (candidates.isEmpty()) {
			return Optional.empty();
		}
		EngineModel engine = query.engine().orElseThrow();
		double promptMillis = engine.readMillis(query.tokens().promptTokens());
		if (isSingleRead(engine, query.tokens().promptTokens())) {
			return Optional.of(planSingleRead(query, engine, promptMillis, candidates, nowNanos));
		}
		return Optional.of(planSplitRead(query, engine, promptMillis, candidates, nowNanos));
	}

	static boolean isSingleRead(EngineModel engine, long promptTokens) {
		return engine.readMillis(promptTokens) <= MAX_SINGLE_READ_MILLIS;
	}

	/**
	 * Estimates the time to read a prompt if all engines are idle.
	 * @param engine the figures of an engine
	 * @param promptTokens the prompt, in tokens
	 * @param engines the number of engines
	 * @return the time, in milliseconds
	 */
	static double leastReadMillis(EngineModel engine, long promptTokens, int engines) {
		return engine.readMillis(promptTokens) / Math.max(1, Math.min(engines, MAX_HELPERS + 1));
	}

	private static PlacementPlan planSingleRead(PlacementQuery query, EngineModel engine, double readMillis,
			List<InstanceLoad> candidates, long nowNanos) {
		InstanceLoad best = null;
		double bestFirstTokenMillis = 0;
		double bestCost = Double.MAX_VALUE;
		for (int index = 0; index < candidates.size(); index++) {
			InstanceLoad load = candidates.get(index);
			double firstTokenMillis = load.responseTimes().pace(nowNanos)
					* (load.backlogMillis(nowNanos) + readMillis + PASSES * engine.passMillis())
					+ load.slotWaitMillis(engine) + TRANSFER_MILLIS;
			double cost = lateCost(query, firstTokenMillis)
					+ load.interferenceCost(readMillis, engine.passMillis(), nowNanos)
					+ occupancyCost(query, engine, load, query.memoryTokens())
					+ (query.packed() ? POSITION_COST * index / candidates.size() : 0)
					+ (query.even() ? STREAM_COST * query.streams().applyAsDouble(load) / engine.slots() : 0);
			if (cost < bestCost) {
				bestCost = cost;
				best = load;
				bestFirstTokenMillis = firstTokenMillis;
			}
		}
		return new PlacementPlan(best, List.of(), bestFirstTokenMillis, Math.round(readMillis), query.memoryTokens(),
				0);
	}

	private static PlacementPlan planSplitRead(PlacementQuery query, EngineModel engine, double promptMillis,
			List<InstanceLoad> candidates, long nowNanos) {
		List<InstanceLoad> idle = candidates.stream()
			.filter((load) -> load.backlogMillis(nowNanos) <= IDLE_BACKLOG_MILLIS)
			.toList();
		List<InstanceLoad> readers = idle.isEmpty() ? candidates : idle;
		PlacementPlan best = null;
		double bestCost = Double.MAX_VALUE;
		int maxCount = Math.min(readers.size(), MAX_HELPERS + 1);
		SpareEngines spare = SpareEngines.of(engine, candidates, nowNanos);
		for (int count = 1; count <= maxCount; count++) {
			double partMillis = promptMillis / count;
			List<InstanceLoad> chosen = cheapest(engine, partMillis, readers, count, nowNanos);
			double interferenceCost = spare.cost(count, partMillis);
			double lastReadMillis = 0;
			for (InstanceLoad load : chosen) {
				interferenceCost += load.interferenceCost(partMillis, engine.passMillis(), nowNanos);
				lastReadMillis = Math.max(lastReadMillis, load.responseTimes().pace(nowNanos)
						* (load.backlogMillis(nowNanos) + partMillis + engine.passMillis()));
			}
			double firstTokenMillis = lastReadMillis + TRANSFER_MILLIS;
			InstanceLoad primary = leastOccupied(engine, chosen);
			double cost = HELPER_COST * (count - 1) + interferenceCost + lateCost(query, firstTokenMillis)
					+ ownGapCost(query, engine, partMillis)
					+ occupancyCost(query, engine, primary, memoryOnPrimary(query, engine, count));
			if (cost < bestCost) {
				bestCost = cost;
				best = plan(query, engine, primary, chosen, firstTokenMillis, partMillis, interferenceCost);
			}
		}
		return best;
	}

	private static double ownGapCost(PlacementQuery query, EngineModel engine, double partMillis) {
		// A long part also delays streams that start on the engine while it is read.
		return WAIT_COST * partMillis / Math.max(engine.passMillis(), query.route().targetGapMillis());
	}

	private static long memoryOnPrimary(PlacementQuery query, EngineModel engine, int count) {
		return (query.memoryTokens() <= engine.memoryTokens()) ? query.memoryTokens() : query.memoryTokens() / count;
	}

	private static List<InstanceLoad> cheapest(EngineModel engine, double partMillis, List<InstanceLoad> candidates,
			int count, long nowNanos) {
		List<InstanceLoad> reversed = new ArrayList<>(candidates);
		Collections.reverse(reversed);
		reversed
			.sort(Comparator.comparingDouble((load) -> load.interferenceCost(partMillis, engine.passMillis(), nowNanos)
					+ WAIT_COST * load.backlogMillis(nowNanos) / Math.max(1, partMillis)
					+ SLOW_READ_COST * (load.responseTimes().pace(nowNanos) - 1)));
		return reversed.subList(0, count);
	}

	private static InstanceLoad leastOccupied(EngineModel engine, List<InstanceLoad> chosen) {
		return chosen.stream()
			.min(Comparator.comparingDouble((load) -> load.streams() / (double) engine.slots()
					+ load.usedTokens() / (double) Math.max(1, engine.memoryTokens())))
			.orElseThrow();
	}

	private static PlacementPlan plan(PlacementQuery query, EngineModel engine, InstanceLoad primary,
			List<InstanceLoad> chosen, double firstTokenMillis, double partMillis, double interferenceCost) {
		List<PlannedHelper> helpers = new ArrayList<>();
		long partTokens = query.tokens().promptTokens() / chosen.size();
		long primaryMemoryTokens = query.memoryTokens();
		long primaryFreeTokens = freeTokens(engine, primary);
		for (InstanceLoad load : chosen) {
			if (load != primary) {
				long reservedTokens = (primaryMemoryTokens > primaryFreeTokens)
						? Math.min(partTokens, freeTokens(engine, load)) : 0;
				primaryMemoryTokens -= reservedTokens;
				helpers.add(new PlannedHelper(load, reservedTokens));
			}
		}
		return new PlacementPlan(primary, helpers, firstTokenMillis, Math.round(partMillis), primaryMemoryTokens,
				interferenceCost);
	}

	private static long freeTokens(EngineModel engine, InstanceLoad load) {
		return Math.max(0, (long) (MEMORY_SHARE * engine.memoryTokens()) - load.usedTokens());
	}

	private static double lateCost(PlacementQuery query, double sinceNowMillis) {
		double target = Math.max(1, query.route().targetLatencyMillis());
		double firstTokenMillis = query.elapsedMillis() + sinceNowMillis;
		double late = (firstTokenMillis > TARGET_SHARE * target) ? LATE_LOSS * query.worth() : 0;
		return late + WAIT_COST * query.worth() * firstTokenMillis / target;
	}

	private static double occupancyCost(PlacementQuery query, EngineModel engine, InstanceLoad load,
			long memoryTokens) {
		double streams = query.streams().applyAsDouble(load);
		double share = streams / Math.max(1, engine.slots());
		double cost = FULL_BATCH_COST * share * share * share * share;
		if (streams >= engine.slots() - 1 && streams < engine.slots()) {
			cost += LAST_SLOT_COST * query.worth();
		}
		if (streams >= engine.slots()) {
			cost += NO_SLOT_COST * query.worth() * (streams - engine.slots() + 1);
		}
		if (load.usedTokens() + memoryTokens > engine.memoryTokens()) {
			cost += NO_MEMORY_COST * query.worth();
		}
		return cost;
	}

}
