package org.rattanhead.daemon.gateway;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.rattanhead.core.Payload;
import org.rattanhead.core.keyed.KeyedStream;
import org.rattanhead.core.keyed.StreamPosition;
import org.rattanhead.core.problem.RemedyException;
import org.rattanhead.platform.keyed.KeyedPage;
import org.rattanhead.platform.keyed.KeyedStore;
import org.rattanhead.platform.keyed.RecordWriter;
import org.rattanhead.ring.Ticker;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of writes to a store that fails for a while.
 */
class RecordWriterTests {

	private static final long TIMEOUT_MILLIS = 10_000;

	private final List<String> written = new CopyOnWriteArrayList<>();

	private volatile boolean available;

	private final KeyedStore store = new KeyedStore() {
		@Override
		public CompletableFuture<KeyedPage> newest(KeyedStream stream, String afterKey) {
			return CompletableFuture.failedFuture(new UnsupportedOperationException());
		}

		@Override
		public CompletableFuture<KeyedPage> changes(KeyedStream stream, StreamPosition from, long waitMillis) {
			return CompletableFuture.failedFuture(new UnsupportedOperationException());
		}

		@Override
		public CompletableFuture<Long> put(KeyedStream stream, String key, Payload value) {
			if (!RecordWriterTests.this.available) {
				return CompletableFuture.failedFuture(new RemedyException("The store is down", "wait"));
			}
			RecordWriterTests.this.written.add(key + "=" + value.text());
			return CompletableFuture.completedFuture(null);
		}
	};

	@ParameterizedTest(name = "deleted before the store returns: {0}")
	@CsvSource({ "false, k=blocked", "true, k=" })
	void writesTheNewestValueOnceTheStoreReturns(boolean deleted, String expected) throws Exception {
		try (Ticker ticker = new Ticker("test")) {
			RecordWriter writer = new RecordWriter(this.store, ticker::after);
			writer.put("k", SuspectRecordCodec.BLOCKED);
			if (deleted) {
				writer.delete("k");
			}
			this.available = true;
			long endNanos = System.nanoTime() + TIMEOUT_MILLIS * 1_000_000;
			while (this.written.isEmpty() && System.nanoTime() < endNanos) {
				Thread.sleep(20);
			}
			assertThat(this.written).containsExactly(expected);
		}
	}

}
