package org.rattanhead.decision;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Keys ordered by deadline. Owned by one duty.
 *
 * @param <K> the type of the keys
 */
public final class DeadlineQueue<K> {

	private final TreeMap<Long, List<K>> byDeadline = new TreeMap<>();

	private final Map<K, Long> deadlines = new HashMap<>();

	/**
	 * Adds a key.
	 * @param key the key
	 * @param deadlineNanos its deadline
	 */
	public void add(K key, long deadlineNanos) {
		this.deadlines.put(key, deadlineNanos);
		this.byDeadline.computeIfAbsent(deadlineNanos, (deadline) -> new ArrayList<>(1)).add(key);
	}

	/**
	 * Removes a key, if present.
	 * @param key the key
	 */
	public void remove(K key) {
		Long deadline = this.deadlines.remove(key);
		if (deadline != null) {
			this.byDeadline.computeIfPresent(deadline, (at, keys) -> {
				keys.remove(key);
				return keys.isEmpty() ? null : keys;
			});
		}
	}

	/**
	 * Removes and returns the keys whose deadline has passed.
	 * @param nowNanos the time
	 * @return the keys, earliest first
	 */
	public List<K> expire(long nowNanos) {
		List<K> expired = new ArrayList<>();
		while (!this.byDeadline.isEmpty() && this.byDeadline.firstKey() <= nowNanos) {
			List<K> keys = this.byDeadline.pollFirstEntry().getValue();
			keys.forEach(this.deadlines::remove);
			expired.addAll(keys);
		}
		return expired;
	}

}
