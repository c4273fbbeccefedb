package org.rattanhead.daemon.gateway;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.rattanhead.core.Payload;
import org.rattanhead.core.keyed.KeyedRecord;
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

	/** Guards against a record that a restored store has lost and nobody writes again. */
	@ParameterizedTest(name = "own {0}, known before {1}, in the copy {2}: written again {3}")
	@CsvSource({ "blocked, blocked, '', true", "blocked, blocked, blocked, false", "blocked, '', '', false",
			"'', '', blocked, true", "'', '', '', false", "'', blocked, blocked, false" })
	void writesAgainWhatARestoredStoreLacks(String own, String known, String copied, boolean again) {
		this.available = true;
		RecordWriter writer = new RecordWriter(this.store, (delayMillis, action) -> action.run());
		writer.put("k", Payload.of(own));
		this.written.clear();
		writer.onRestored(records(known));
		writer.rewriteLost(records(copied));
		assertThat(this.written).containsExactlyElementsOf(again ? List.of("k=" + own) : List.of());
	}

	private static List<KeyedRecord> records(String value) {
		return value.isEmpty() ? List.of() : List.of(new KeyedRecord("k", Optional.of(Payload.of(value))));
	}

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
