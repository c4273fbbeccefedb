package org.rattanhead.decision.room;

import java.util.List;

import org.rattanhead.core.forward.EngineModel;

/**
 * The earliest times at which any of the instances of a service can serve a request.
 *
 * @param waitMillis the time until it is admitted, in milliseconds
 * @param firstTokenMillis the time to its first token, in milliseconds
 * @param completionMillis the time to the end of its answer, in milliseconds
 * @param takenSlots the slots in use
 * @param slots the slots of all instances
 * @param queuesFull whether every instance rejects more requests
 */
public record CapacityEstimate(double waitMillis, double firstTokenMillis, double completionMillis, int takenSlots,
		int slots, boolean queuesFull) {

	/** The requests that a server of a plain service queues before it rejects more. */
	private static final int SERVER_QUEUE = 24;

	/** Typical duration of a call to a plain service, in milliseconds. */
	public static final double CALL_MILLIS = 50;

	/** The mean time to the next free slot, as a share of the time between two. */
	private static final double FIRST_SLOT_SHARE = 0.5;

	/**
	 * The factor by which requests that arrive later prolong the wait of one that engines
	 * do not admit before them. Smaller factors admit requests that reach their deadline
	 * while they run, which costs capacity.
	 */
	public static final double FIRST_OVERTAKING = 3.5;

	/**
	 * The same factor for callers that return. With 1, the simulated engines completed
	 * 78% at three times their capacity; with 2.5, callers that return too early were
	 * served more often than others.
	 */
	public static final double RETURNING_OVERTAKING = 2;

	/**
	 * Estimates for a prompt. It includes no requests that arrive later.
	 * @param engine the figures of an engine
	 * @param need the prompt
	 * @param instances the engines that accept work
	 * @return the estimate
	 */
	public static CapacityEstimate ofPrompt(EngineModel engine, PromptNeed need, List<InstanceOccupancy> instances) {
		double waitMillis = instances.stream()
			.mapToDouble((instance) -> Math.max(slotWaitMillis(engine, need, instance),
					memoryWaitMillis(engine, need, instance)))
			.min()
			.orElse(0);
		double firstTokenMillis = waitMillis + readMillis(engine, need, instances) + engine.passMillis();
		return of(instances, waitMillis, firstTokenMillis, firstTokenMillis + need.answerTokens() * engine.stepMillis(),
				false);
	}

	/**
	 * Estimates for a call to a plain service.
	 * @param instances the servers that accept work
	 * @return the estimate
	 */
	public static CapacityEstimate ofCall(List<InstanceOccupancy> instances) {
		double waitMillis = instances.stream()
			.mapToDouble(
					(instance) -> Math.max(0, instance.waiting() + 1) * CALL_MILLIS / Math.max(1, instance.slots()))
			.min()
			.orElse(0);
		boolean full = instances.stream().allMatch((instance) -> instance.waiting() >= SERVER_QUEUE);
		return of(instances, waitMillis, waitMillis + CALL_MILLIS, waitMillis + CALL_MILLIS, full);
	}

	/**
	 * Returns whether the request can end before its deadline.
	 * @param remainingMillis the time to the deadline, in milliseconds
	 * @return false if it cannot
	 */
	public boolean canFinish(double remainingMillis) {
		return !this.queuesFull && this.completionMillis < remainingMillis;
	}

	/**
	 * Returns whether at least half of the slots are in use. Below, no request is refused
	 * for lack of capacity, however slow the instances are.
	 * @return true if they are
	 */
	public boolean halfTaken() {
		return 2 * this.takenSlots >= this.slots;
	}

	private static CapacityEstimate of(List<InstanceOccupancy> instances, double waitMillis, double firstTokenMillis,
			double completionMillis, boolean queuesFull) {
		int taken = instances.stream().mapToInt(InstanceOccupancy::taken).sum();
		int slots = instances.stream().mapToInt(InstanceOccupancy::slots).sum();
		return new CapacityEstimate(waitMillis, firstTokenMillis, completionMillis, taken, slots, queuesFull);
	}

	private static double slotWaitMillis(EngineModel engine, PromptNeed need, InstanceOccupancy instance) {
		int waiting = instance.waiting();
		if (waiting < 0) {
			return 0;
		}
		return (need.overtaking() * waiting + FIRST_SLOT_SHARE) * engine.slotMillis();
	}

	private static double memoryWaitMillis(EngineModel engine, PromptNeed need, InstanceOccupancy instance) {
		if (instance.taken() == 0) {
			return 0;
		}
		// Only admitted requests occupy memory; the waiting ones need as much on average.
		double meanTokens = Math.max(1, instance.usedTokens() / (double) instance.running());
		double neededTokens = Math.min(engine.memoryTokens(),
				(need.promptTokens() + need.answerTokens()) / need.maxReaders());
		double missingTokens = meanTokens * instance.taken() + neededTokens - engine.memoryTokens();
		return Math.max(0, Math.min(instance.taken(), Math.ceil(missingTokens / meanTokens))) * engine.slotMillis();
	}

	private static double readMillis(EngineModel engine, PromptNeed need, List<InstanceOccupancy> instances) {
		// The number of readers is chosen as for the earliest end of the last part.
		List<InstanceOccupancy> idlest = instances.stream()
			.sorted((left, right) -> Double.compare(left.backlogMillis(), right.backlogMillis()))
			.limit(need.maxReaders())
			.toList();
		double promptMillis = engine.readMillis(need.promptTokens());
		double best = instances.isEmpty() ? 0 : Double.MAX_VALUE;
		for (int readers = 1; readers <= idlest.size(); readers++) {
			InstanceOccupancy last = idlest.get(readers - 1);
			best = Math.min(best, last.backlogMillis() + promptMillis / readers);
		}
		return best;
	}

}
