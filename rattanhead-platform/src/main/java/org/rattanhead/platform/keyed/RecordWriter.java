package org.rattanhead.platform.keyed;

import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.random.RandomGenerator;

import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

import org.rattanhead.core.Payload;
import org.rattanhead.core.keyed.KeyedRecord;
import org.rattanhead.core.keyed.KeyedStream;
import org.rattanhead.decision.BoundedMap;

/**
 * Writes records of this daemon to the store, and repeats a write that fails until it
 * succeeds or a newer value of the same key is written.
 */
public final class RecordWriter {

	private static final Logger LOGGER = LogManager.getLogger(RecordWriter.class);

	private static final long RETRY_MILLIS = 500;

	/**
	 * The maximum pause between writes of a record, before it is lengthened at random.
	 */
	private static final long MAX_RETRY_MILLIS = 2_000;

	/**
	 * The number of written records that are remembered, in case that the store loses
	 * them.
	 */
	private static final int MAX_WRITTEN = 1_024;

	private static final Payload DELETED = Payload.of("");

	private static final double SPREAD_SHARE = 0.3;

	private final KeyedStore store;

	private final FollowTimer timer;

	private final RandomGenerator random = new Random();

	private final Map<String, Payload> wanted = new ConcurrentHashMap<>();

	private final Map<String, Payload> written = Collections.synchronizedMap(new BoundedMap<>(MAX_WRITTEN));

	private Map<String, Payload> lostCandidates = Map.of();

	/**
	 * Creates a writer.
	 * @param store the store
	 * @param timer schedules repeated writes
	 */
	public RecordWriter(KeyedStore store, FollowTimer timer) {
		this.store = store;
		this.timer = timer;
	}

	/**
	 * Writes a record.
	 * @param key the key
	 * @param value the value
	 */
	public void put(String key, Payload value) {
		this.wanted.put(key, value);
		write(key, value, RETRY_MILLIS);
	}

	/**
	 * Deletes a record.
	 * @param key the key
	 */
	public void delete(String key) {
		put(key, DELETED);
	}

	/**
	 * Remembers which records of this daemon stood in the store before it came back from
	 * an older copy. Those that another daemon has overwritten are left to that one.
	 * @param known the newest record of each key before
	 */
	public void onRestored(List<KeyedRecord> known) {
		Map<String, Payload> values = values(known);
		Map<String, Payload> candidates;
		synchronized (this.written) {
			candidates = new LinkedHashMap<>(this.written);
		}
		candidates.entrySet()
			.removeIf((entry) -> !entry.getValue().equals(values.getOrDefault(entry.getKey(), DELETED)));
		this.lostCandidates = candidates;
	}

	/**
	 * Writes again what the store has lost.
	 * @param stored the newest record of each key in the restored store
	 */
	public void rewriteLost(List<KeyedRecord> stored) {
		Map<String, Payload> values = values(stored);
		Map<String, Payload> candidates = this.lostCandidates;
		this.lostCandidates = Map.of();
		candidates.forEach((key, value) -> {
			if (!this.wanted.containsKey(key) && !value.equals(values.getOrDefault(key, DELETED))) {
				LOGGER.info("platform: the restored store lacks the last write of record {}; writing it again", key);
				put(key, value);
			}
		});
	}

	private static Map<String, Payload> values(List<KeyedRecord> records) {
		Map<String, Payload> values = new HashMap<>();
		records.forEach((record) -> values.put(record.key(), record.value().orElse(DELETED)));
		return values;
	}

	private void write(String key, Payload value, long pauseMillis) {
		this.store.put(KeyedStream.MEMBERS, key, value).whenComplete((done, failure) -> {
			if (failure == null) {
				this.written.put(key, value);
				this.wanted.remove(key, value);
			}
			else {
				boolean called = !(failure instanceof StoreUnavailableException);
				LOGGER.log(called ? Level.WARN : Level.DEBUG, "platform: record {} could not be written; retrying: {}",
						key, failure.getMessage());
				long nextMillis = called ? Math.min(2 * pauseMillis, MAX_RETRY_MILLIS) : pauseMillis;
				this.timer.after(pauseMillis + Math.round(pauseMillis * SPREAD_SHARE * this.random.nextDouble()),
						() -> retry(key, value, nextMillis));
			}
		});
	}

	private void retry(String key, Payload value, long pauseMillis) {
		if (value.equals(this.wanted.get(key))) {
			write(key, value, pauseMillis);
		}
	}

}
