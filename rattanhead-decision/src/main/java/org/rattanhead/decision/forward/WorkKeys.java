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

	private final Map<String, String> instanceByKey = new HashMap<>();

	private final Map<String, Set<String>> keysByHost = new HashMap<>();

	void add(String host, String key, String instance) {
		this.instanceByKey.put(key, instance);
		this.keysByHost.computeIfAbsent(host, (name) -> new HashSet<>()).add(key);
	}

	/**
	 * Removes a key.
	 * @param host the daemon that placed the work
	 * @param key the key of the work
	 * @return the id of the instance, empty if the key is unknown
	 */
	Optional<String> remove(String host, String key) {
		Set<String> keys = this.keysByHost.get(host);
		if (keys != null) {
			keys.remove(key);
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
