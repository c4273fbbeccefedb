package org.rattanhead.decision.forward;

import java.util.List;

import org.rattanhead.core.forward.EngineModel;

/**
 * How many engines can read a long prompt at once before new short prompts find none that
 * is free.
 *
 * @param engines all engines
 * @param spare the engines that running streams leave over
 * @param reading the engines that read a long prompt now
 * @param arrivingWorth the worth of the requests that arrive in a millisecond
 */
record SpareEngines(int engines, int spare, int reading, double arrivingWorth) {

	/** A backlog above this counts as a long read, in milliseconds. */
	private static final double LONG_READ_MILLIS = 180;

	/** The part of the slots that streams may take before an engine counts as needed. */
	private static final double SLOT_SHARE = 0.75;

	/**
	 * The usual time of a stream, in milliseconds, from the published lengths and step
	 * time.
	 */
	private static final double STREAM_MILLIS = 1_800;

	static SpareEngines of(EngineModel engine, List<InstanceLoad> candidates, long nowNanos) {
		int writers = 0;
		int reading = 0;
		for (InstanceLoad load : candidates) {
			writers += load.writers();
			reading += (load.backlogMillis(nowNanos) > LONG_READ_MILLIS) ? 1 : 0;
		}
		int needed = (int) Math.ceil(writers / (SLOT_SHARE * Math.max(1, engine.slots())));
		return new SpareEngines(candidates.size(), Math.max(1, candidates.size() - needed), reading,
				writers / STREAM_MILLIS);
	}

	/**
	 * Estimates what arriving requests lose while engines read.
	 * @param count the engines that read besides those that do now
	 * @param partMillis how long they read, in milliseconds
	 * @return the worth lost
	 */
	double cost(int count, double partMillis) {
		double blocked = Math.max(0, this.reading + count - this.spare)
				/ (double) Math.max(1, this.engines - this.spare);
		return Math.min(1, blocked) * this.arrivingWorth * partMillis;
	}

}
