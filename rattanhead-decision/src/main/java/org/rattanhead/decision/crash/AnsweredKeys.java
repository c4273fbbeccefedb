package org.rattanhead.decision.crash;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalLong;

/**
 * When instances last began an answer that went on, for the most recent requests and
 * parts of prompts.
 */
final class AnsweredKeys {

	/** Bounds the memory. */
	private static final int MAX_KEYS = 4_096;

	private final Map<Long, Long> answeredNanos = new LinkedHashMap<>(16, 0.75F, true) {

		@Override
		protected boolean removeEldestEntry(Map.Entry<Long, Long> eldest) {
			return size() > MAX_KEYS;
		}

	};

	void add(long key, long atNanos) {
		this.answeredNanos.merge(key, atNanos, Math::max);
	}

	OptionalLong find(long key) {
		Long atNanos = this.answeredNanos.get(key);
		return (atNanos != null) ? OptionalLong.of(atNanos) : OptionalLong.empty();
	}

}
