package org.rattanhead.decision.forward;

import java.util.List;

import org.rattanhead.core.forward.EngineModel;

/**
 * Estimates how many engines can read a long prompt at the same time without leaving none
 * for new short prompts.
 *
 * @param engines the number of all engines
 * @param spare the number of engines that running streams do not need
 * @param reading the number of engines that are reading a long prompt
 * @param arrivingWorth the worth of the requests that arrive per millisecond
 */
record SpareEngines(int engines, int spare, int reading, double arrivingWorth) {

	/** Backlog above which an engine counts as reading a long prompt. */
	private static final double LONG_READ_MILLIS = 180;

	/** Share of the slots that streams fill on each engine they need. */
	private static final double SLOT_SHARE = 0.75;

	/** Typical duration of a stream, from the published lengths and step time. */
	private static final double STREAM_MILLIS = 1_800;

	static SpareEngines of(EngineModel engine, List<InstanceLoad> candidates, long nowNanos) {
		int streams = 0;
		int reading = 0;
		for (InstanceLoad load : candidates) {
			streams += load.streams();
			reading += (load.backlogMillis(nowNanos) > LONG_READ_MILLIS) ? 1 : 0;
		}
		int needed = (int) Math.ceil(streams / (SLOT_SHARE * Math.max(1, engine.slots())));
		return new SpareEngines(candidates.size(), Math.max(1, candidates.size() - needed), reading,
				streams / STREAM_MILLIS);
	}

	/**
	 * Estimates the worth that arriving requests lose while engines read a prompt.
	 * @param count the number of additional reading engines
	 * @param partMillis the time to read one part, in milliseconds
	 * @return the worth lost
	 */
	double cost(int count, double partMillis) {
		double blocked = Math.max(0, this.reading + count - this.spare)
				/ (double) Math.max(1, this.engines - this.spare);
		return Math.min(1, blocked) * this.arrivingWorth * partMillis;
	}

}
