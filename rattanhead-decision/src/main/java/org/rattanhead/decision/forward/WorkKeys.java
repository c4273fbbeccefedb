package org.rattanhead.decision.forward;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Which daemon placed the work with a key, and on which instance.
 */
final class WorkKeys {

	/** A datagram holds the work of a daemon, and the shortest entries have 8 bytes. */
	private static final int MAX_KEYS_PER_HOST = 8_192;

	/** Bounds the memory of the work of all daemons to about a tenth of the heap. */
	private static final int MAX_KEYS = 65_536;

	private final Map<String, String> instanceByKey = new HashMap<>();

	private final Map<String, Set<String>> keysByHost = new HashMap<>();

	/**
	 * Adds a key.
	 * @param host the daemon that placed the work
	 * @param key the key of the work
	 * @param instance the id of the instance
	 * @return false if there are too many keys; nothing is added then
	 */
	boolean add(String host, String key, String instance) {
		boolean known = this.instanceByKey.containsKey(key);
		Set<String> keys = this.keysByHost.getOrDefault(host, Set.of());
		if (!known && (keys.size() >= MAX_KEYS_PER_HOST || this.instanceByKey.size() >= MAX_KEYS)) {
			return false;
		}
		this.instanceByKey.put(key, instance);
		this.keysByHost.computeIfAbsent(host, (name) -> new HashSet<>()).add(key);
		return true;
	}

	/**
	 * Removes a key.
	 * @param host the daemon that placed the work
	 * @param key the key of the work
	 * @return the id of the instance, empty if the key is unknown
	 */
	Optional<String> remove(String host, String key) {
		Set<String> keys = this.keysByHost.get(host);
		if (keys != null && keys.remove(key) && keys.isEmpty()) {
			this.keysByHost.remove(host);
		}
		return Optional.ofNullable(this.instanceByKey.remove(key));
	}

	/**
	 * Lists the keys of the work of a daemon, in an order that is the same in each run.
	 * @param host the daemon
	 * @return a copy of the keys
	 */
	List<String> of(String host) {
		return List.copyOf(this.keysByHost.getOrDefault(host, Set.of()));
	}

}
