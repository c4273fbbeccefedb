package org.rattanhead.client.internal;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Idle resources by key with a bound on their number, most recently used first. Safe for
 * use by several threads.
 *
 * @param <K> the type of the keys
 * @param <T> the type of the resources
 */
public final class IdlePool<K, T> {

	private final int maxIdle;

	private final Map<K, Deque<T>> idle = new HashMap<>();

	private int idleCount;

	/**
	 * Creates a pool.
	 * @param maxIdle the maximum number of idle resources
	 */
	public IdlePool(int maxIdle) {
		this.maxIdle = maxIdle;
	}

	/**
	 * Removes a resource from the pool.
	 * @param key the key
	 * @return the most recently returned resource of that key, empty if there is none
	 */
	public synchronized Optional<T> acquire(K key) {
		Deque<T> resources = this.idle.get(key);
		if (resources == null) {
			return Optional.empty();
		}
		T resource = resources.pollFirst();
		if (resources.isEmpty()) {
			this.idle.remove(key);
		}
		this.idleCount--;
		return Optional.of(resource);
	}

	/**
	 * Returns a resource to the pool.
	 * @param key the key
	 * @param resource the resource
	 * @return false if the pool is full; the resource remains with the caller
	 */
	public synchronized boolean release(K key, T resource) {
		if (this.idleCount >= this.maxIdle) {
			return false;
		}
		this.idleCount++;
		this.idle.computeIfAbsent(key, (added) -> new ArrayDeque<>()).addFirst(resource);
		return true;
	}

	/**
	 * Removes all resources from the pool.
	 * @return the resources
	 */
	public synchronized List<T> drain() {
		List<T> all = new ArrayList<>();
		this.idle.values().forEach(all::addAll);
		this.idle.clear();
		this.idleCount = 0;
		return all;
	}

}
