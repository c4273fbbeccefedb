package org.rattanhead.decision.forward;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

import org.rattanhead.core.Millis;
import org.rattanhead.core.forward.EngineModel;
import org.rattanhead.core.forward.LoadEntry;
import org.rattanhead.core.forward.UpstreamInstance;
import org.rattanhead.decision.fairness.WorkspaceShares;

/**
 * The state of an instance as seen by this daemon: the work that all daemons placed on
 * it, its failures and its last response.
 */
final class InstanceLoad {

	/** Share of the target gap of a stream above which a pause counts as too long. */
	private static final double GAP_SHARE = 0.85;

	/** Share of the worth lost when a stream pauses too long. */
	private static final double LATE_LOSS = 0.75;

	/** Cost of a pause within the target gap, as a share of the worth. */
	private static final double PAUSE_COST = 0.05;

	/**
	 * The mean time to the end of the next stream, as a share of the time between two.
	 */
	private static final double FIRST_SLOT_SHARE = 0.5;

	/** How long an instance counts as alive after it sent data of any response. */
	private static final long ALIVE_MILLIS = 1_200;

	private final Map<String, PlacedLoad> placed = new LinkedHashMap<>();

	private final SentRequests sent = new SentRequests();

	private final ResponseTimes responseTimes = new ResponseTimes();

	private final Avoidance avoidance;

	private UpstreamInstance instance;

	private long readUntilNanos;

	private long lastResponseNanos;

	private OptionalLong answeredNanos = OptionalLong.empty();

	private int ownRequests;

	private int otherRequests;

	InstanceLoad(UpstreamInstance instance, long nowNanos) {
		this.readUntilNanos = nowNanos;
		this.avoidance = new Avoidance(nowNanos);
		this.lastResponseNanos = nowNanos - Millis.toNanos(ALIVE_MILLIS);
		this.instance = instance;
	}

	/**
	 * Identifies the incarnation of the instance, for reports to other daemons.
	 * @return a hash of its id and its incarnation
	 */
	long incarnationKey() {
		return ((long) this.instance.id().hashCode() << Integer.SIZE) ^ this.instance.incarnation();
	}

	UpstreamInstance instance() {
		return this.instance;
	}

	void update(UpstreamInstance newInstance) {
		this.instance = newInstance;
	}

	/**
	 * Adds work.
	 * @param entry the work
	 * @param own whether this daemon placed it
	 * @param ageMillis how long ago it was placed
	 * @param nowNanos the time on the monotonic clock
	 * @return the work, or empty if it was known
	 */
	Optional<PlacedLoad> place(LoadEntry entry, boolean own, long ageMillis, long nowNanos) {
		if (this.placed.containsKey(entry.key())) {
			return Optional.empty();
		}
		this.readUntilNanos = Math.max(this.readUntilNanos, nowNanos)
				+ Millis.toNanos(Math.max(0, entry.readMillis() - ageMillis));
		PlacedLoad load = new PlacedLoad(entry, nowNanos + Millis.toNanos(entry.remainingMillis()), own);
		this.placed.put(entry.key(), load);
		count(load, 1);
		return Optional.of(load);
	}

	void remove(String key, long nowNanos) {
		PlacedLoad removed = this.placed.remove(key);
		if (removed != null) {
			count(removed, -1);
		}
		if (this.placed.isEmpty()) {
			this.readUntilNanos = nowNanos;
		}
	}

	void expire(long nowNanos) {
		this.placed.values()
			.stream()
			.filter((load) -> load.expiryNanos() < nowNanos)
			.forEach((load) -> count(load, -1));
		this.placed.values().removeIf((load) -> load.expiryNanos() < nowNanos);
	}

	private void count(PlacedLoad load, int change) {
		int requests = load.isRequest() ? change : 0;
		this.ownRequests += load.own() ? requests : 0;
		this.otherRequests += load.own() ? 0 : requests;
	}

	int running() {
		return this.placed.size();
	}

	/**
	 * Counts the requests of this daemon, or those of others.
	 * @param own whether to count those of this daemon
	 * @return the number, without parts of prompts that are read for other instances
	 */
	int requests(boolean own) {
		return own ? this.ownRequests : this.otherRequests;
	}

	int streams() {
		int streams = 0;
		for (PlacedLoad load : this.placed.values()) {
			streams += load.entry().writesStream() ? 1 : 0;
		}
		return streams;
	}

	/**
	 * Counts the streams by workspace, also those that wait for a slot.
	 * @param shares receives the streams
	 */
	void countStreams(WorkspaceShares shares) {
		for (PlacedLoad load : this.placed.values()) {
			if (load.entry().writesStream()) {
				shares.add(load.entry().workspaceHash());
			}
		}
	}

	/**
	 * Estimates how long new work waits for a slot that streams occupy. Deferred work is
	 * admitted after it.
	 * @param engine the figures of the engine
	 * @return the time, in milliseconds
	 */
	double slotWaitMillis(EngineModel engine) {
		int streams = 0;
		int deferred = 0;
		for (PlacedLoad load : this.placed.values()) {
			streams += load.entry().writesStream() ? 1 : 0;
			deferred += load.entry().deferred() ? 1 : 0;
		}
		int waiting = streams - engine.slots();
		return (waiting < 0) ? 0 : (Math.max(0, waiting - deferred) + FIRST_SLOT_SHARE) * engine.slotMillis();
	}

	long usedTokens() {
		long tokens = 0;
		for (PlacedLoad load : this.placed.values()) {
			tokens += load.entry().memoryTokens();
		}
		return tokens;
	}

	double backlogMillis(long nowNanos) {
		return Math.max(0, this.readUntilNanos - nowNanos) / (double) Millis.toNanos(1);
	}

	/**
	 * Estimates the worth that the streams on the instance lose while it reads a prompt.
	 * @param addedMillis the time to read it, in milliseconds
	 * @param passMillis the duration of a pass, in milliseconds
	 * @param nowNanos the time on the monotonic clock
	 * @return the worth lost
	 */
	double interferenceCost(double addedMillis, double passMillis, long nowNanos) {
		double pauseMillis = backlogMillis(nowNanos) + addedMillis + passMillis;
		double loss = 0;
		for (PlacedLoad load : this.placed.values()) {
			LoadEntry entry = load.entry();
			if (entry.writesStream()) {
				loss += (pauseMillis > GAP_SHARE * entry.gapMillis()) ? LATE_LOSS * entry.worth()
						: PAUSE_COST * entry.worth() * addedMillis / entry.gapMillis();
			}
		}
		return loss;
	}

	void responseReceived(long nowNanos) {
		this.lastResponseNanos = nowNanos;
		this.answeredNanos = OptionalLong.of(nowNanos);
		this.responseTimes.clearExpected();
	}

	/**
	 * Returns when the instance last sent data of any response.
	 * @return the time on the monotonic clock, empty if it has not
	 */
	OptionalLong answeredNanos() {
		return this.answeredNanos;
	}

	ResponseTimes responseTimes() {
		return this.responseTimes;
	}

	/**
	 * Treats an instance that has sent nothing by the expected time as failed.
	 * @param nowNanos the time on the monotonic clock
	 */
	void checkOverdue(long nowNanos) {
		if (this.responseTimes.overdue(nowNanos)) {
			failed(nowNanos);
		}
	}

	/**
	 * Returns whether the instance recently sent data of any response, or still has
	 * prompts to read according to the plan.
	 * @param nowNanos the time on the monotonic clock
	 * @return true if a pause does not indicate a fault
	 */
	boolean alive(long nowNanos) {
		return nowNanos - Math.max(this.lastResponseNanos, Math.min(nowNanos, this.readUntilNanos)) < Millis
			.toNanos(ALIVE_MILLIS);
	}

	void failed(long nowNanos) {
		this.responseTimes.clearExpected();
		this.avoidance.failed(nowNanos);
	}

	void overloaded(long nowNanos) {
		this.avoidance.overloaded(nowNanos);
	}

	void avoidUntil(long nanos) {
		this.avoidance.extend(nanos);
	}

	void rampUp() {
		this.avoidance.rampUp();
	}

	void succeeded() {
		this.avoidance.succeeded();
	}

	boolean avoided(long nowNanos) {
		return this.avoidance.active(this.responseTimes.awaited(), nowNanos);
	}

	void sent(long nowNanos) {
		this.sent.add(nowNanos);
	}

	/**
	 * Counts the requests that this daemon sent in the last second.
	 * @param nowNanos the time on the monotonic clock
	 * @return the number
	 */
	int sentLately(long nowNanos) {
		return this.sent.count(nowNanos);
	}

}
