package org.rattanhead.decision.room;

import java.util.LinkedHashMap;
import java.util.Map;

import org.rattanhead.core.Millis;

/**
 * The requests that this daemon refused for lack of capacity and that may return. Callers
 * have no identity; a request returns if one with the same content comes from the same
 * workspace.
 */
public final class ReturningCallers {

	/** Bounds the memory; the oldest entries are dropped first. */
	private static final int MAX_ENTRIES = 4_096;

	/** The time after the announced one within which a caller keeps its preference. */
	private static final long RETENTION_NANOS = Millis.toNanos(2_000);

	/** Callers and daemons measure the announced time with an error of this size. */
	private static final long TOLERANCE_NANOS = Millis.toNanos(20);

	private final Map<CallerKey, Refusal> refusals = new LinkedHashMap<>();

	/**
	 * Records a refusal. A caller that returned before the announced time does not
	 * postpone it.
	 * @param caller the content and workspace of the request
	 * @param dueNanos when the caller is expected to return
	 * @param nowNanos the time on the monotonic clock
	 */
	public void refused(CallerKey caller, long dueNanos, long nowNanos) {
		expire(nowNanos);
		Refusal before = this.refusals.remove(caller);
		boolean early = before != null && before.early(nowNanos);
		this.refusals.put(caller, early ? before : new Refusal(nowNanos, dueNanos));
		if (this.refusals.size() > MAX_ENTRIES) {
			this.refusals.remove(this.refusals.keySet().iterator().next());
		}
	}

	/**
	 * Removes a caller whose request was accepted.
	 * @param caller the content and workspace of the request
	 */
	public void accepted(CallerKey caller) {
		this.refusals.remove(caller);
	}

	/**
	 * Returns what a request that arrived at a given time is.
	 * @param caller the content and workspace of the request
	 * @param arrivalNanos the time at which it arrived
	 * @return the kind of arrival
	 */
	public Arrival arrival(CallerKey caller, long arrivalNanos) {
		Refusal refusal = this.refusals.get(caller);
		if (refusal == null || arrivalNanos < refusal.refusedNanos()
				|| arrivalNanos > refusal.dueNanos() + RETENTION_NANOS) {
			return Arrival.FIRST;
		}
		return refusal.early(arrivalNanos) ? Arrival.EARLY : Arrival.RETURNING;
	}

	/**
	 * Returns the time left until a caller is expected to return.
	 * @param caller the content and workspace of the request
	 * @param nowNanos the time on the monotonic clock
	 * @return the time in milliseconds, 0 if it is not expected later
	 */
	public long remainingMillis(CallerKey caller, long nowNanos) {
		Refusal refusal = this.refusals.get(caller);
		return (refusal != null) ? Math.max(0, Millis.ofNanos(refusal.dueNanos() - nowNanos)) : 0;
	}

	/**
	 * Counts the callers that are expected to return.
	 * @param nowNanos the time on the monotonic clock
	 * @return the number
	 */
	public int expected(long nowNanos) {
		expire(nowNanos);
		return this.refusals.size();
	}

	private void expire(long nowNanos) {
		this.refusals.values().removeIf((refusal) -> nowNanos > refusal.dueNanos() + RETENTION_NANOS);
	}

	/**
	 * What an arriving request is.
	 */
	public enum Arrival {

		/** No caller of it is expected to return. */
		FIRST,

		/** It was refused and returns at the announced time. */
		RETURNING,

		/** It was refused and returns before the announced time. */
		EARLY

	}

	/**
	 * Identifies a caller by what it sends.
	 *
	 * @param workspace the workspace
	 * @param fingerprint the fingerprint of the request
	 */
	public record CallerKey(String workspace, long fingerprint) {
	}

	private record Refusal(long refusedNanos, long dueNanos) {

		boolean early(long nowNanos) {
			return nowNanos < this.dueNanos - TOLERANCE_NANOS;
		}

	}

}
