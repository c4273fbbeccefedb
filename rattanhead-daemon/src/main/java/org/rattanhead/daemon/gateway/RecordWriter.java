package org.rattanhead.daemon.gateway;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

import org.rattanhead.core.Payload;
import org.rattanhead.core.keyed.KeyedStream;
import org.rattanhead.platform.keyed.KeyedStore;
import org.rattanhead.ring.Ticker;

/**
 * Writes records of this daemon to the store, and repeats a write that fails until it
 * succeeds or a newer value of the same key is written.
 */
final class RecordWriter {

	private static final Logger LOGGER = LogManager.getLogger(RecordWriter.class);

	private static final long RETRY_MILLIS = 500;

	private final KeyedStore store;

	private final Ticker ticker;

	private final Map<String, Payload> wanted = new ConcurrentHashMap<>();

	RecordWriter(KeyedStore store, Ticker ticker) {
		this.store = store;
		this.ticker = ticker;
	}

	/**
	 * Writes a record.
	 * @param key the key
	 * @param value the value
	 */
	void put(String key, Payload value) {
		this.wanted.put(key, value);
		write(key, value);
	}

	/**
	 * Deletes a record.
	 * @param key the key
	 */
	void delete(String key) {
		put(key, Payload.of(""));
	}

	private void write(String key, Payload value) {
		this.store.put(KeyedStream.MEMBERS, key, value).whenComplete((done, failure) -> {
			if (failure == null) {
				this.wanted.remove(key, value);
			}
			else {
				LOGGER.warn("platform: record {} could not be written; retrying: {}", key, failure.getMessage());
				this.ticker.after(RETRY_MILLIS, () -> retry(key, value));
			}
		});
	}

	private void retry(String key, Payload value) {
		if (value.equals(this.wanted.get(key))) {
			write(key, value);
		}
	}

}
