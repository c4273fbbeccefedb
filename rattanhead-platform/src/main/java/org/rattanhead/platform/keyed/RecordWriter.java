package org.rattanhead.platform.keyed;

import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.random.RandomGenerator;

import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

import org.rattanhead.core.Payload;
import org.rattanhead.core.keyed.KeyedStream;

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

	private static final double SPREAD_SHARE = 0.3;

	private final KeyedStore store;

	private final FollowTimer timer;

	private final RandomGenerator random = new Random();

	private final Map<String, Payload> wanted = new ConcurrentHashMap<>();

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
		put(key, Payload.of(""));
	}

	private void write(String key, Payload value, long pauseMillis) {
		this.store.put(KeyedStream.MEMBERS, key, value).whenComplete((done, failure) -> {
			if (failure == null) {
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
