package org.rattanhead.platform.keyed;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import org.rattanhead.core.Payload;
import org.rattanhead.core.keyed.KeyedRecord;
import org.rattanhead.core.keyed.KeyedStream;
import org.rattanhead.core.keyed.StreamPosition;
import org.rattanhead.ring.Ticker;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * The store sends pages, keys or values without end.
 */
class EndlessStreamTests {

	private static final int RECORDS_PER_PAGE = 500;

	/** Shared by all records, so that the test itself needs little memory. */
	private static final Payload VALUE = new Payload(new byte[16 * 1024]);

	private final BlockingQueue<String> notifications = new LinkedBlockingQueue<>();

	private final KeyedListener listener = new KeyedListener() {
		@Override
		public void onNewest(List<KeyedRecord> records) {
			EndlessStreamTests.this.notifications.add("newest " + records.size());
		}

		@Override
		public void onChanges(List<KeyedRecord> records) {
			EndlessStreamTests.this.notifications.add("changes " + records.size());
		}

		@Override
		public void onReadFailed() {
			EndlessStreamTests.this.notifications.add("read failed");
		}
	};

	/** Guards against LOST: pages of newest records without end were all kept. */
	@ParameterizedTest(name = "{0}")
	@CsvSource({ "new keys, 500, true", "the same page, 500, false", "empty pages, 0, false" })
	void failsReadOfPagesWithoutEndAndReadsAnew(String name, int records, boolean newKeys) throws Exception {
		KeyedStore store = new EndlessStore() {
			private long pages;

			private volatile boolean sound;

			@Override
			public CompletableFuture<KeyedPage> newest(KeyedStream stream, String afterKey) {
				this.sound |= afterKey.isEmpty() && this.pages > 0;
				if (this.sound) {
					return CompletableFuture
						.completedFuture(new KeyedPage(records(0, 2), StreamPosition.of(5), false, false));
				}
				long first = newKeys ? this.pages * records : 0;
				this.pages++;
				return CompletableFuture
					.completedFuture(new KeyedPage(records(first, records), StreamPosition.of(5), true, false));
			}
		};
		follow(store, () -> {
			assertThat(this.notifications.poll(10, TimeUnit.SECONDS)).isEqualTo("read failed");
			assertThat(this.notifications.poll(10, TimeUnit.SECONDS)).isEqualTo("newest 2");
		});
	}

	/** Guards against LOST: changes with ever new keys were all kept. */
	@ParameterizedTest(name = "{0} pages")
	@ValueSource(ints = { 200, 400 })
	void leavesOutRecordsBeyondTheBoundAndFollowsTheOthers(int pages) throws Exception {
		long maxRecords = Runtime.getRuntime().maxMemory() / VALUE.length();
		assertThat((long) pages * RECORDS_PER_PAGE).as("records sent").isGreaterThan(maxRecords);
		KeyedStore store = new EndlessStore() {
			@Override
			public CompletableFuture<KeyedPage> newest(KeyedStream stream, String afterKey) {
				return CompletableFuture
					.completedFuture(new KeyedPage(records(0, 1), StreamPosition.of(0), false, false));
			}

			@Override
			public CompletableFuture<KeyedPage> changes(KeyedStream stream, StreamPosition from, long waitMillis) {
				List<KeyedRecord> records = new ArrayList<>(records(1 + from.offset(), RECORDS_PER_PAGE));
				records.set(0, records(0, 1).get(0));
				return CompletableFuture.completedFuture(
						new KeyedPage(records, from.withOffset(from.offset() + RECORDS_PER_PAGE), false, false));
			}
		};
		follow(store, () -> {
			long applied = 0;
			assertThat(this.notifications.poll(10, TimeUnit.SECONDS)).isEqualTo("newest 1");
			for (int page = 0; page < pages; page++) {
				String notification = this.notifications.poll(10, TimeUnit.SECONDS);
				assertThat(notification).startsWith("changes ").isNotEqualTo("changes 0");
				applied += Long.parseLong(notification.substring("changes ".length()));
			}
			assertThat(applied).isLessThan(maxRecords);
		});
	}

	private static List<KeyedRecord> records(long first, int count) {
		List<KeyedRecord> records = new ArrayList<>();
		for (long number = first; number < first + count; number++) {
			records.add(new KeyedRecord("k" + number, Optional.of(VALUE)));
		}
		return records;
	}

	private void follow(KeyedStore store, Check check) throws Exception {
		FollowPlan plan = new FollowPlan(KeyedStream.INSTANCES, 1, 0, 0, false);
		try (Ticker ticker = new Ticker("test");
				KeyedFollower follower = new KeyedFollower(store, () -> plan, ticker, this.listener, (update) -> {
				}, (stream, position, source) -> {
				})) {
			check.run();
		}
	}

	/**
	 * A store without changes.
	 */
	private abstract static class EndlessStore implements KeyedStore {

		@Override
		public CompletableFuture<KeyedPage> changes(KeyedStream stream, StreamPosition from, long waitMillis) {
			return new CompletableFuture<>();
		}

		@Override
		public CompletableFuture<Long> put(KeyedStream stream, String key, Payload value) {
			return CompletableFuture.completedFuture(StreamPosition.NO_ERA);
		}

	}

	/**
	 * A check that may block.
	 */
	@FunctionalInterface
	private interface Check {

		void run() throws Exception;

	}

}
