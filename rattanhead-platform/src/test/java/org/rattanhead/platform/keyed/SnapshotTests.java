package org.rattanhead.platform.keyed;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.stream.IntStream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import org.rattanhead.core.Payload;
import org.rattanhead.core.keyed.KeyedRecord;
import org.rattanhead.core.keyed.KeyedStream;
import org.rattanhead.core.keyed.StreamPosition;
import org.rattanhead.core.keyed.StreamUpdate;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * How a daemon that starts receives the newest records from other daemons.
 */
class SnapshotTests {

	private static final FollowPlan PLAN = new FollowPlans().plan(KeyedStream.OPERATORS);

	private final VirtualTime time = new VirtualTime();

	private final SimulatedStore store = new SimulatedStore(this.time);

	private final List<String> applied = new ArrayList<>();

	private final List<String> requested = new ArrayList<>();

	private final List<StreamUpdate> updates = new ArrayList<>();

	private final List<StreamUpdate> sent = new ArrayList<>();

	private final StreamReader reader = new StreamReader(this.store.connect("self"), () -> PLAN,
			new ReadSchedule(() -> PLAN, new Random(1), 0), new KeyedListener() {
				@Override
				public void onNewest(List<KeyedRecord> records) {
					SnapshotTests.this.applied.add("newest " + records.size());
				}

				@Override
				public void onChanges(List<KeyedRecord> records) {
					SnapshotTests.this.applied.add("changes " + records.size());
				}

				@Override
				public void onReadFailed() {
					SnapshotTests.this.applied.add("failed");
				}
			}, new StreamPeers() {
				@Override
				public void sendUpdate(StreamUpdate update) {
					SnapshotTests.this.updates.add(update);
				}

				@Override
				public void requestSnapshot(KeyedStream stream, String host) {
					SnapshotTests.this.requested.add(host);
				}

				@Override
				public void sendSnapshot(String host, StreamUpdate snapshot) {
					SnapshotTests.this.sent.add(snapshot);
				}
			}, (stream, position, source) -> {
			}, this.time, this::handle);

	/** Guards against a read of what another daemon supplies. */
	@ParameterizedTest(name = "answered after {0} ms: {1} reads")
	@CsvSource({ "1, 0", "140, 0", "900, 1" })
	void readsOnlyWithoutAnAnswer(long answerMillis, int reads) {
		handle(new ReadDue(0));
		handle(new PeersKnown(true));
		assertThat(this.requested).containsExactly("");
		this.time.after(answerMillis, () -> handle(new SnapshotReceived(snapshot(7, 3))));
		this.time.runUntil(1_000);
		assertThat(this.store.takeCalls().getOrDefault("OPERATORS newest", 0)).isEqualTo(reads);
		assertThat(this.applied).contains("newest 3");
	}

	/** Guards against a first daemon that waits for others that do not exist. */
	@ParameterizedTest(name = "{0} ms after the start")
	@ValueSource(longs = { 0, 100 })
	void readsAtOnceWithoutOtherDaemons(long knownMillis) {
		handle(new ReadDue(0));
		this.time.runUntil(knownMillis);
		handle(new PeersKnown(false));
		this.time.runUntil(knownMillis + 10);
		assertThat(this.applied).containsExactly("newest 0");
	}

	/** Guards against an older snapshot that replaces newer records. */
	@ParameterizedTest(name = "second snapshot up to offset {0}: {1}")
	@CsvSource({ "6, 1", "7, 1", "8, 2" })
	void ignoresOlderSnapshots(long nextOffset, int snapshots) {
		handle(new ReadDue(0));
		handle(new SnapshotReceived(snapshot(7, 3)));
		handle(new SnapshotReceived(snapshot(nextOffset, 4)));
		assertThat(this.applied).hasSize(snapshots);
	}

	/**
	 * Guards against a supplier that passes on records that it no longer keeps current.
	 */
	@ParameterizedTest(name = "requested {0} ms after the last update, {1} bytes: {2} sent")
	@CsvSource({ "0, 10, 1", "1900, 10, 1", "2100, 10, 0", "0, 40000, 0" })
	void suppliesCurrentRecordsThatFit(long delayMillis, int bytes, int snapshots) {
		this.store.lostHosts.add("self");
		handle(new ReadDue(0));
		handle(new SnapshotReceived(
				new StreamUpdate(KeyedStream.OPERATORS, position(7), position(7), List.of(record("k", bytes)))));
		this.time.runUntil(delayMillis);
		handle(new SnapshotRequested("other"));
		assertThat(this.sent).hasSize(snapshots);
	}

	/** Guards against a request that is lost because the asked daemon starts as well. */
	@ParameterizedTest(name = "{0} daemons")
	@ValueSource(ints = { 1, 3 })
	void answersEarlierRequestsOnceItHasTheRecords(int daemons) {
		handle(new ReadDue(0));
		IntStream.range(0, daemons).forEach((index) -> handle(new SnapshotRequested("other-" + index)));
		assertThat(this.sent).isEmpty();
		handle(new SnapshotReceived(snapshot(7, 3)));
		assertThat(this.sent).hasSize(daemons).allMatch((sentSnapshot) -> sentSnapshot.records().size() == 3);
	}

	/** Guards against reads after updates that start before the offset of a snapshot. */
	@ParameterizedTest(name = "update from {0} to {1}: {2}")
	@CsvSource({ "5, 9, changes 2", "7, 9, changes 2", "4, 7, changes 0" })
	void appliesTheNewPartOfAnUpdate(long from, long next, String change) {
		handle(new ReadDue(0));
		handle(new SnapshotReceived(snapshot(7, 3)));
		List<KeyedRecord> records = IntStream.range(0, (int) (next - from))
			.mapToObj((index) -> record("n" + index, 1))
			.toList();
		handle(new UpdateReceived("other", true,
				new StreamUpdate(KeyedStream.OPERATORS, position(from), position(next), records)));
		assertThat(this.applied).containsExactly("newest 3", change);
		assertThat(this.store.takeCalls()).isEmpty();
	}

	/**
	 * Guards against CONFIG: messages of a gateway that is in another era of the store,
	 * or of an earlier version that names none, taken for newer ones.
	 */
	@ParameterizedTest(name = "{0} of era {1} up to offset {2}: {3}, requested {4}")
	@CsvSource({ "update, 1, 9, newest 3;changes 2, 0", "update, 0, 9, newest 3, 0", "update, 0, 100, newest 3, 0",
			"update, 2, 9, newest 3, 1", "update, 2, 3, newest 3, 1", "snapshot, 1, 9, newest 3;newest 4, 0",
			"snapshot, 0, 100, newest 3, 0", "snapshot, 2, 3, newest 3;newest 4, 0" })
	void takesOnlyMessagesOfItsEraOrALaterOne(String kind, long era, long next, String expected, int requests) {
		handle(new ReadDue(0));
		handle(new SnapshotReceived(snapshot(7, 3)));
		StreamPosition from = new StreamPosition(era, next - 2);
		boolean update = kind.equals("update");
		List<KeyedRecord> records = IntStream.range(0, update ? 2 : 4)
			.mapToObj((index) -> record("n" + index, 1))
			.toList();
		StreamUpdate message = new StreamUpdate(KeyedStream.OPERATORS, update ? from : from.withOffset(next),
				from.withOffset(next), records);
		handle(update ? new UpdateReceived("other", true, message) : new SnapshotReceived(message));
		assertThat(String.join(";", this.applied)).isEqualTo(expected);
		assertThat(this.requested).hasSize(requests);
	}

	/**
	 * Guards against LOST: an update that lacked a record that its sender had received
	 * from another daemon during its read.
	 */
	@ParameterizedTest(name = "offset {0} received during the read")
	@CsvSource({ "0, 0, 3", "1, 1, 2", "3, 3, 0" })
	void sendsTheRestOfAPageAfterAnUpdateDuringTheRead(int received, long from, int records) {
		IntStream.range(0, 3).forEach((index) -> this.store.append(KeyedStream.OPERATORS, "k" + index, "v"));
		handle(new ReadDue(0));
		handle(new SnapshotReceived(new StreamUpdate(KeyedStream.OPERATORS, position(0), position(0), List.of())));
		this.time.runUntil(1_000);
		handle(new UpdateReceived("other", true,
				new StreamUpdate(KeyedStream.OPERATORS, position(1_000), position(1_001), List.of())));
		List<KeyedRecord> update = IntStream.range(0, received).mapToObj((index) -> record("k" + index, 1)).toList();
		handle(new UpdateReceived("other", true,
				new StreamUpdate(KeyedStream.OPERATORS, position(0), position(received), update)));
		this.time.runUntil(1_100);
		assertThat(this.updates).hasSize(1);
		assertThat(this.updates.get(0).from().offset()).isEqualTo(from);
		assertThat(this.updates.get(0).records()).hasSize(records);
	}

	/**
	 * Guards against CONFIG: a record that another daemon announced during a read, and
	 * that is read only when updates have stopped for the yield time.
	 */
	@ParameterizedTest(name = "announced {0} ms after the start of the read, which is refused: {1}")
	@CsvSource({ "100, false", "4, true" })
	void readsWhatWasAnnouncedDuringARead(long announcedMillis, boolean refused) {
		handle(new ReadDue(0));
		handle(new SnapshotReceived(new StreamUpdate(KeyedStream.OPERATORS, position(0), position(0), List.of())));
		this.store.linkBytesPerMilli = 1;
		this.store.totalBytesPerMilli = 1;
		this.store.append(KeyedStream.OPERATORS, "a", "v".repeat(200));
		if (refused) {
			this.store.refusedHosts.add("self");
		}
		announce(1);
		this.time.runUntil(announcedMillis);
		this.store.append(KeyedStream.OPERATORS, "b", "v".repeat(200));
		announce(2);
		this.time.runUntil(100);
		this.store.refusedHosts.clear();
		this.time.runUntil(900);
		assertThat(this.applied.stream().filter((change) -> change.startsWith("changes")))
			.containsExactlyElementsOf(refused ? List.of("changes 2") : List.of("changes 1", "changes 1"));
	}

	private void announce(long nextOffset) {
		handle(new UpdateReceived("other", true,
				new StreamUpdate(KeyedStream.OPERATORS, position(nextOffset), position(nextOffset), List.of())));
	}

	/** Guards against reads without end after a position that the store does not have. */
	@ParameterizedTest(name = "announced {0} times")
	@ValueSource(ints = { 1, 5 })
	void readsOnceAfterAWrongAnnouncement(int announcements) {
		handle(new ReadDue(0));
		handle(new SnapshotReceived(new StreamUpdate(KeyedStream.OPERATORS, position(0), position(0), List.of())));
		this.store.takeCalls();
		for (int count = 1; count <= announcements; count++) {
			announce(100);
			this.time.runUntil(100L * count);
		}
		assertThat(this.store.takeCalls().values()).allMatch((calls) -> calls <= announcements);
	}

	private void handle(FollowEvent event) {
		this.reader.handle(event, this.time.nanos());
	}

	private static StreamPosition position(long offset) {
		return new StreamPosition(SimulatedStore.FIRST_ERA, offset);
	}

	private static StreamUpdate snapshot(long nextOffset, int records) {
		return new StreamUpdate(KeyedStream.OPERATORS, position(nextOffset), position(nextOffset),
				IntStream.range(0, records).mapToObj((index) -> record("k" + index, 1)).toList());
	}

	private static KeyedRecord record(String key, int bytes) {
		return new KeyedRecord(key, Optional.of(Payload.of("v".repeat(bytes))));
	}

}
