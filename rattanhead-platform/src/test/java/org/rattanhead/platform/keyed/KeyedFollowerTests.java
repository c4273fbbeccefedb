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
import org.rattanhead.core.keyed.StreamUpdate;
import org.rattanhead.ring.Ticker;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Reads of {@link KeyedFollower} after failures, gaps and updates from other daemons.
 */
class KeyedFollowerTests {

	private static final long WAIT_MILLIS = 60_077;

	private final BlockingQueue<String> reads = new LinkedBlockingQueue<>();

	private final BlockingQueue<String> notifications = new LinkedBlockingQueue<>();

	private final BlockingQueue<StreamUpdate> updates = new LinkedBlockingQueue<>();

	private final List<CompletableFuture<KeyedPage>> responses = new ArrayList<>();

	private volatile String failingCall = "";

	private volatile long newestMillis;

	private final KeyedStore store = new KeyedStore() {
		@Override
		public CompletableFuture<KeyedPage> newest(KeyedStream stream, String afterKey) {
			KeyedFollowerTests.this.reads.add("newest " + afterKey);
			return next();
		}

		@Override
		public CompletableFuture<KeyedPage> changes(KeyedStream stream, StreamPosition from, long waitMillis) {
			KeyedFollowerTests.this.reads.add("from " + from.offset() + " wait " + waitMillis);
			return next();
		}

		@Override
		public CompletableFuture<Long> put(KeyedStream stream, String key, Payload value) {
			return CompletableFuture.completedFuture(StreamPosition.NO_ERA);
		}

		private CompletableFuture<KeyedPage> next() {
			List<CompletableFuture<KeyedPage>> remaining = KeyedFollowerTests.this.responses;
			return remaining.isEmpty() ? new CompletableFuture<>() : remaining.remove(0);
		}
	};

	private final KeyedListener listener = new KeyedListener() {
		@Override
		public void onNewest(List<KeyedRecord> records) {
			failIfWanted("newest");
			sleep(KeyedFollowerTests.this.newestMillis);
			KeyedFollowerTests.this.notifications.add("newest " + records.size());
		}

		@Override
		public List<KeyedRecord> selectRelevant(List<KeyedRecord> records) {
			failIfWanted("relevant");
			return records;
		}

		@Override
		public void onChanges(List<KeyedRecord> records) {
			failIfWanted("changes");
			KeyedFollowerTests.this.notifications.add("changes " + records.size());
		}

		@Override
		public void onReadFailed() {
			KeyedFollowerTests.this.notifications.add("read failed");
			failIfWanted("failed");
		}

		private void failIfWanted(String call) {
			if (call.equals(KeyedFollowerTests.this.failingCall)) {
				throw new IllegalArgumentException("an odd record");
			}
		}
	};

	@ParameterizedTest(name = "{0} failures, thread of the follower held up for {1} ms")
	@CsvSource({ "1, 0", "2, 0", "1, 200" })
	void readsWithoutWaitingUntilAReadSucceeds(int failures, long heldUpMillis) throws Exception {
		this.newestMillis = heldUpMillis;
		page(5, 1, false);
		for (int failure = 0; failure < failures; failure++) {
			this.responses.add(CompletableFuture.failedFuture(new IllegalStateException("no answer")));
		}
		page(6, 1, false);
		follow(() -> {
			expectReads("newest ", "from 5 wait 60077");
			for (int failure = 0; failure < failures; failure++) {
				expectReads("from 5 wait 0");
			}
			expectReads("from 6 wait 60077");
		});
	}

	/** Guards against LOST: one odd record ended the following of a stream. */
	@ParameterizedTest(name = "{0} fails")
	@ValueSource(strings = { "newest", "relevant", "changes", "failed" })
	void followsOnAfterTheListenerFailed(String call) throws Exception {
		this.failingCall = call;
		page(5, 1, false);
		this.responses.add(CompletableFuture.failedFuture(new IllegalStateException("no answer")));
		page(6, 1, false);
		page(7, 1, false);
		follow(() -> {
			for (String offset : List.of("newest ", "from 5", "from 5", "from 6", "from 7")) {
				assertThat(this.reads.poll(5, TimeUnit.SECONDS)).startsWith(offset);
			}
		});
	}

	@ParameterizedTest(name = "gap {0}")
	@CsvSource({ "after the newest records, 0", "after changes, 1" })
	void readsTheNewestRecordsAgainAfterAGap(String when, int changes) throws Exception {
		page(5, 2, false);
		for (int change = 0; change < changes; change++) {
			page(6 + change, 1, false);
		}
		this.responses
			.add(CompletableFuture.completedFuture(new KeyedPage(List.of(), StreamPosition.of(0), false, true)));
		page(9, 3, false);
		follow(() -> {
			assertThat(this.notifications.poll(5, TimeUnit.SECONDS)).isEqualTo("newest 2");
			for (int change = 0; change < changes; change++) {
				assertThat(this.notifications.poll(5, TimeUnit.SECONDS)).isEqualTo("changes 1");
			}
			assertThat(this.notifications.poll(5, TimeUnit.SECONDS)).isEqualTo("newest 3");
		});
	}

	@ParameterizedTest(name = "{0} pages")
	@ValueSource(ints = { 2, 4 })
	void readsAllPagesThenChangesFromTheEndOfTheFirstPage(int pages) throws Exception {
		for (int page = 0; page < pages; page++) {
			page(5 + page, 2, page < pages - 1);
		}
		follow(() -> {
			assertThat(this.notifications.poll(5, TimeUnit.SECONDS)).isEqualTo("newest " + 2 * pages);
			for (int page = 0; page < pages; page++) {
				this.reads.poll(5, TimeUnit.SECONDS);
			}
			expectReads("from 5 wait 60077");
		});
	}

	@ParameterizedTest(name = "{0}")
	@CsvSource({ "applies the records that follow, 5, 7, changes 2, ''", "reports an empty update, 5, 5, changes 0, ''",
			"reads records that the update omits, 7, 7, changes 3, from 5 wait 0",
			"reads the records of a gap, 6, 7, changes 3, from 5 wait 0", "ignores an older update, 3, 4, '', ''" })
	void appliesUpdatesOfOtherDaemons(String name, long from, long next, String change, String read) throws Exception {
		page(5, 1, false);
		CompletableFuture<KeyedPage> answer = new CompletableFuture<>();
		this.responses.add(answer);
		List<KeyedRecord> records = new ArrayList<>();
		for (long offset = from; offset < next; offset++) {
			records.add(new KeyedRecord("n" + offset, Optional.of(Payload.of("v"))));
		}
		answer.complete(
				new KeyedPage(List.of(record("a"), record("b"), record("c")), StreamPosition.of(8), false, false));
		follow(new FollowPlan(KeyedStream.OPERATORS, 60_000, WAIT_MILLIS, 60_000, false), (follower) -> {
			expectReads("newest ");
			assertThat(this.notifications.poll(5, TimeUnit.SECONDS)).isEqualTo("newest 1");
			follower.receive("other", true,
					new StreamUpdate(KeyedStream.OPERATORS, StreamPosition.of(from), StreamPosition.of(next), records));
			if (!read.isEmpty()) {
				expectReads(read);
			}
			assertThat(this.notifications.poll(change.isEmpty() ? 100 : 5_000, TimeUnit.MILLISECONDS))
				.isEqualTo(change.isEmpty() ? null : change);
		});
	}

	@ParameterizedTest(name = "{0} records of {1} bytes: update from offset {2}")
	@CsvSource({ "0, 10, 5", "2, 10, 5", "2, 50000, 7" })
	void sendsUpdatesToOtherDaemons(int records, int bytes, long from) throws Exception {
		page(5, 1, false);
		List<KeyedRecord> read = new ArrayList<>();
		for (int record = 0; record < records; record++) {
			read.add(new KeyedRecord("k", Optional.of(Payload.of("v".repeat(bytes)))));
		}
		this.responses
			.add(CompletableFuture.completedFuture(new KeyedPage(read, StreamPosition.of(5 + records), false, false)));
		follow(() -> {
			StreamUpdate update = this.updates.poll(5, TimeUnit.SECONDS);
			assertThat(update.from().offset()).isEqualTo(from);
			assertThat(update.next().offset()).isEqualTo(5 + records);
			assertThat(update.records()).hasSize((int) (update.next().offset() - from));
		});
	}

	private static void sleep(long millis) {
		try {
			TimeUnit.MILLISECONDS.sleep(millis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private static KeyedRecord record(String key) {
		return new KeyedRecord(key, Optional.of(Payload.of("v")));
	}

	private void page(long nextOffset, int records, boolean more) {
		List<KeyedRecord> all = new ArrayList<>();
		for (int record = 0; record < records; record++) {
			all.add(new KeyedRecord("k" + record, Optional.of(Payload.of("v"))));
		}
		this.responses
			.add(CompletableFuture.completedFuture(new KeyedPage(all, StreamPosition.of(nextOffset), more, false)));
	}

	private void expectReads(String... expected) throws InterruptedException {
		for (String read : expected) {
			assertThat(this.reads.poll(5, TimeUnit.SECONDS)).isEqualTo(read);
		}
	}

	private void follow(Check check) throws Exception {
		// The follower reads for all until the wait of its next read is over, which must
		// not
		// end while its thread gets no processor.
		follow(new FollowPlan(KeyedStream.OPERATORS, 1, WAIT_MILLIS, 0, false), (follower) -> check.run());
	}

	private void follow(FollowPlan plan, FollowerCheck check) throws Exception {
		try (Ticker ticker = new Ticker("test");
				KeyedFollower follower = new KeyedFollower(this.store, () -> plan, ticker, this.listener,
						this.updates::add, (stream, position, source) -> {
						})) {
			check.run(follower);
		}
	}

	/**
	 * A check that may block.
	 */
	@FunctionalInterface
	private interface Check {

		void run() throws Exception;

	}

	/**
	 * A check of a follower that may block.
	 */
	@FunctionalInterface
	private interface FollowerCheck {

		void run(KeyedFollower follower) throws Exception;

	}

}
