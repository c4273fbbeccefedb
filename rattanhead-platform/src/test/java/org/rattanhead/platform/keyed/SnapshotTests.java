package org.rattanhead.platform.keyed;

import java.util.List;
import java.util.stream.IntStream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import org.rattanhead.core.keyed.KeyedRecord;
import org.rattanhead.core.keyed.KeyedStream;
import org.rattanhead.core.keyed.StreamPosition;
import org.rattanhead.core.keyed.StreamUpdate;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * How a daemon that starts receives the newest records from other daemons.
 */
class SnapshotTests {

	private final ReaderRig rig = new ReaderRig();

	/** Guards against a read of what another daemon supplies. */
	@ParameterizedTest(name = "answered after {0} ms: {1} reads")
	@CsvSource({ "1, 0", "140, 0", "900, 1" })
	void readsOnlyWithoutAnAnswer(long answerMillis, int reads) {
		this.rig.handle(new ReadDue(0));
		this.rig.handle(new PeersKnown(true));
		assertThat(this.rig.requested).containsExactly("");
		this.rig.time.after(answerMillis, () -> this.rig.handle(new SnapshotReceived(snapshot(7, 3))));
		this.rig.time.runUntil(1_000);
		assertThat(this.rig.store.takeCalls().getOrDefault("OPERATORS newest", 0)).isEqualTo(reads);
		assertThat(this.rig.applied).contains("newest 3");
	}

	/** Guards against a first daemon that waits for others that do not exist. */
	@ParameterizedTest(name = "{0} ms after the start")
	@ValueSource(longs = { 0, 100 })
	void readsAtOnceWithoutOtherDaemons(long knownMillis) {
		this.rig.handle(new ReadDue(0));
		this.rig.time.runUntil(knownMillis);
		this.rig.handle(new PeersKnown(false));
		this.rig.time.runUntil(knownMillis + 10);
		assertThat(this.rig.applied).containsExactly("newest 0");
	}

	/** Guards against an older snapshot that replaces newer records. */
	@ParameterizedTest(name = "second snapshot up to offset {0}: {1}")
	@CsvSource({ "6, 1", "7, 1", "8, 2" })
	void ignoresOlderSnapshots(long nextOffset, int snapshots) {
		this.rig.handle(new ReadDue(0));
		this.rig.handle(new SnapshotReceived(snapshot(7, 3)));
		this.rig.handle(new SnapshotReceived(snapshot(nextOffset, 4)));
		assertThat(this.rig.applied).hasSize(snapshots);
	}

	/**
	 * Guards against a supplier that passes on records that it no longer keeps current.
	 */
	@ParameterizedTest(name = "requested {0} ms after the last update, {1} bytes: {2} sent")
	@CsvSource({ "0, 10, 1", "1900, 10, 1", "2100, 10, 0", "0, 40000, 0" })
	void suppliesCurrentRecordsThatFit(long delayMillis, int bytes, int snapshots) {
		this.rig.store.lostHosts.add("self");
		this.rig.handle(new ReadDue(0));
		this.rig.handle(new SnapshotReceived(new StreamUpdate(KeyedStream.OPERATORS, ReaderRig.position(7),
				ReaderRig.position(7), List.of(ReaderRig.record("k", bytes)))));
		this.rig.time.runUntil(delayMillis);
		this.rig.handle(new SnapshotRequested("other"));
		assertThat(this.rig.sent).hasSize(snapshots);
	}

	/** Guards against a request that is lost because the asked daemon starts as well. */
	@ParameterizedTest(name = "{0} daemons")
	@ValueSource(ints = { 1, 3 })
	void answersEarlierRequestsOnceItHasTheRecords(int daemons) {
		this.rig.handle(new ReadDue(0));
		IntStream.range(0, daemons).forEach((index) -> this.rig.handle(new SnapshotRequested("other-" + index)));
		assertThat(this.rig.sent).isEmpty();
		this.rig.handle(new SnapshotReceived(snapshot(7, 3)));
		assertThat(this.rig.sent).hasSize(daemons).allMatch((sentSnapshot) -> sentSnapshot.records().size() == 3);
	}

	/** Guards against reads after updates that start before the offset of a snapshot. */
	@ParameterizedTest(name = "update from {0} to {1}: {2}")
	@CsvSource({ "5, 9, changes 2", "7, 9, changes 2", "4, 7, changes 0" })
	void appliesTheNewPartOfAnUpdate(long from, long next, String change) {
		this.rig.handle(new ReadDue(0));
		this.rig.handle(new SnapshotReceived(snapshot(7, 3)));
		List<KeyedRecord> records = IntStream.range(0, (int) (next - from))
			.mapToObj((index) -> ReaderRig.record("n" + index, 1))
			.toList();
		this.rig.handle(new UpdateReceived("other", true,
				new StreamUpdate(KeyedStream.OPERATORS, ReaderRig.position(from), ReaderRig.position(next), records)));
		assertThat(this.rig.applied).containsExactly("newest 3", change);
		assertThat(this.rig.store.takeCalls()).isEmpty();
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
		this.rig.handle(new ReadDue(0));
		this.rig.handle(new SnapshotReceived(snapshot(7, 3)));
		StreamPosition from = new StreamPosition(era, next - 2);
		boolean update = kind.equals("update");
		List<KeyedRecord> records = IntStream.range(0, update ? 2 : 4)
			.mapToObj((index) -> ReaderRig.record("n" + index, 1))
			.toList();
		StreamUpdate message = new StreamUpdate(KeyedStream.OPERATORS, update ? from : from.withOffset(next),
				from.withOffset(next), records);
		this.rig.handle(update ? new UpdateReceived("other", true, message) : new SnapshotReceived(message));
		assertThat(String.join(";", this.rig.applied)).isEqualTo(expected);
		assertThat(this.rig.requested).hasSize(requests);
	}

	/**
	 * Guards against LOST: an update that lacked a record that its sender had received
	 * from another daemon during its read.
	 */
	@ParameterizedTest(name = "offset {0} received during the read")
	@CsvSource({ "0, 0, 3", "1, 1, 2", "3, 3, 0" })
	void sendsTheRestOfAPageAfterAnUpdateDuringTheRead(int received, long from, int records) {
		IntStream.range(0, 3).forEach((index) -> this.rig.store.append(KeyedStream.OPERATORS, "k" + index, "v"));
		this.rig.handle(new ReadDue(0));
		this.rig.handle(new SnapshotReceived(
				new StreamUpdate(KeyedStream.OPERATORS, ReaderRig.position(0), ReaderRig.position(0), List.of())));
		this.rig.time.runUntil(1_000);
		this.rig.handle(new UpdateReceived("other", true, new StreamUpdate(KeyedStream.OPERATORS,
				ReaderRig.position(1_000), ReaderRig.position(1_001), List.of())));
		List<KeyedRecord> update = IntStream.range(0, received)
			.mapToObj((index) -> ReaderRig.record("k" + index, 1))
			.toList();
		this.rig.handle(new UpdateReceived("other", true,
				new StreamUpdate(KeyedStream.OPERATORS, ReaderRig.position(0), ReaderRig.position(received), update)));
		this.rig.time.runUntil(1_100);
		assertThat(this.rig.updates).hasSize(1);
		assertThat(this.rig.updates.get(0).from().offset()).isEqualTo(from);
		assertThat(this.rig.updates.get(0).records()).hasSize(records);
	}

	private static StreamUpdate snapshot(long nextOffset, int records) {
		return new StreamUpdate(KeyedStream.OPERATORS, ReaderRig.position(nextOffset), ReaderRig.position(nextOffset),
				IntStream.range(0, records).mapToObj((index) -> ReaderRig.record("k" + index, 1)).toList());
	}

}
