package org.rattanhead.platform.keyed;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Random;
import java.util.concurrent.CompletableFuture;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import org.rattanhead.core.Payload;
import org.rattanhead.core.keyed.KeyedStream;
import org.rattanhead.core.keyed.StreamPosition;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * The calls that reach a store that refuses them.
 */
class GuardedStoreTests {

	private final VirtualTime time = new VirtualTime();

	private final Deque<CompletableFuture<KeyedPage>> calls = new ArrayDeque<>();

	private final Deque<CompletableFuture<Long>> writes = new ArrayDeque<>();

	private long lastWaitMillis;

	private final GuardedStore guard = new GuardedStore(new KeyedStore() {
		@Override
		public CompletableFuture<KeyedPage> newest(KeyedStream stream, String afterKey) {
			return changes(stream, StreamPosition.of(0), 0);
		}

		@Override
		public CompletableFuture<KeyedPage> changes(KeyedStream stream, StreamPosition from, long waitMillis) {
			GuardedStoreTests.this.lastWaitMillis = waitMillis;
			GuardedStoreTests.this.calls.add(new CompletableFuture<>());
			return GuardedStoreTests.this.calls.getLast();
		}

		@Override
		public CompletableFuture<Long> put(KeyedStream stream, String key, Payload value) {
			GuardedStoreTests.this.writes.add(new CompletableFuture<>());
			return GuardedStoreTests.this.writes.getLast();
		}
	}, this.time::nanos, new Random(1));

	/** Guards against a call of each stream to a store that refuses all of them. */
	@ParameterizedTest(name = "after {0} failures")
	@ValueSource(ints = { 1, 2, 3, 10 })
	void makesOneCallPerPause(int failures) {
		for (int failure = 0; failure < failures; failure++) {
			read();
			this.calls.remove().completeExceptionally(new IllegalStateException("refused"));
			assertThat(read()).isCompletedExceptionally();
			assertThat(this.calls).isEmpty();
			this.time.runUntil(this.time.millis() + 1_560);
		}
		read();
		assertThat(read()).isCompletedExceptionally();
		assertThat(this.guard.put(KeyedStream.MEMBERS, "k", Payload.of("v"))).isCompletedExceptionally();
		assertThat(this.calls).hasSize(1);
		this.calls.remove().complete(null);
		read();
		read();
		assertThat(this.calls).hasSize(2);
	}

	/**
	 * Guards against a test of the store that waits for a change and blocks all calls.
	 */
	@ParameterizedTest(name = "wait of {0} ms")
	@ValueSource(longs = { 0, 7_000 })
	void testsWithoutWaiting(long waitMillis) {
		this.guard.changes(KeyedStream.MEMBERS, StreamPosition.of(0), waitMillis);
		assertThat(this.lastWaitMillis).isEqualTo(waitMillis);
		this.calls.remove().completeExceptionally(new IllegalStateException("refused"));
		this.time.runUntil(1_000);
		this.guard.changes(KeyedStream.MEMBERS, StreamPosition.of(0), waitMillis);
		assertThat(this.lastWaitMillis).isZero();
	}

	/**
	 * Guards against a record that the store does not accept and that stops all reads.
	 */
	@ParameterizedTest(name = "{0} writes fail")
	@CsvSource({ "1", "5" })
	void readsWhileOnlyWritesFail(int failures) {
		for (int failure = 0; failure < failures; failure++) {
			this.guard.put(KeyedStream.MEMBERS, "k", Payload.of("v"));
			this.writes.remove().completeExceptionally(new IllegalStateException("refused"));
		}
		assertThat(read()).isNotDone();
	}

	private CompletableFuture<KeyedPage> read() {
		return this.guard.changes(KeyedStream.INSTANCES, StreamPosition.of(0), 0);
	}

}
