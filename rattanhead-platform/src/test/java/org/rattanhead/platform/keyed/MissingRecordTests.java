package org.rattanhead.platform.keyed;

import java.util.List;
import java.util.Optional;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import org.rattanhead.core.Payload;
import org.rattanhead.core.keyed.KeyedRecord;
import org.rattanhead.core.keyed.KeyedStream;
import org.rattanhead.core.keyed.StreamUpdate;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * How a daemon gets the records that updates show it to lack.
 */
class MissingRecordTests {

	private final ReaderRig rig = new ReaderRig();

	/**
	 * Guards against CONFIG: a record that another daemon announced during a read, and
	 * that is read only when updates have stopped for the yield time.
	 */
	@ParameterizedTest(name = "announced {0} ms after the start of the read, which is refused: {1}")
	@CsvSource({ "100, false", "4, true" })
	void readsWhatWasAnnouncedDuringARead(long announcedMillis, boolean refused) {
		this.rig.handle(new ReadDue(0));
		this.rig.handle(new SnapshotReceived(
				new StreamUpdate(KeyedStream.OPERATORS, ReaderRig.position(0), ReaderRig.position(0), List.of())));
		this.rig.store.links.linkBytesPerMilli = 1;
		this.rig.store.links.totalBytesPerMilli = 1;
		this.rig.store.append(KeyedStream.OPERATORS, "a", "v".repeat(200));
		if (refused) {
			this.rig.store.refusedHosts.add("self");
		}
		announce(1);
		this.rig.time.runUntil(announcedMillis);
		this.rig.store.append(KeyedStream.OPERATORS, "b", "v".repeat(200));
		announce(2);
		this.rig.time.runUntil(100);
		this.rig.store.refusedHosts.clear();
		this.rig.time.runUntil(900);
		assertThat(this.rig.applied.stream().filter((change) -> change.startsWith("changes")))
			.containsExactlyElementsOf(refused ? List.of("changes 2") : List.of("changes 1", "changes 1"));
	}

	private void announce(long nextOffset) {
		this.rig.handle(new UpdateReceived("other", true, new StreamUpdate(KeyedStream.OPERATORS,
				ReaderRig.position(nextOffset), ReaderRig.position(nextOffset), List.of())));
	}

	/** Guards against reads without end after a position that the store does not have. */
	@ParameterizedTest(name = "announced {0} times, {1} routes")
	@CsvSource({ "1, 1", "5, 1", "1, 240", "5, 240" })
	void readsOnceAfterAWrongAnnouncement(int announcements, int routes) {
		startWithConfiguration(routes);
		for (int count = 1; count <= announcements; count++) {
			announce(100);
			this.rig.time.runUntil(100L * count);
		}
		assertThat(this.rig.store.takeCalls().values()).allMatch((calls) -> calls <= announcements);
	}

	/** Guards against a daemon that loses its records when it cannot read newer ones. */
	@ParameterizedTest(name = "{0} routes, refused {1}: {2}")
	@CsvSource({ "1, false, changes 2", "240, false, newest 1", "1, true, failed;changes 2",
			"240, true, failed;changes 1;changes 1" })
	void readsTheNewestOfSeveralLargeRecords(int routes, boolean refused, String expected) {
		startWithConfiguration(routes);
		this.rig.store.append(KeyedStream.OPERATORS, "config", LargeConfiguration.text(3, routes));
		this.rig.store.append(KeyedStream.OPERATORS, "config", LargeConfiguration.text(4, routes));
		if (refused) {
			this.rig.store.refusedHosts.add("self");
		}
		announce(9);
		this.rig.time.runUntil(100);
		this.rig.store.refusedHosts.clear();
		if (refused && routes > 1) {
			update(7, 8, configuration(3, routes));
		}
		this.rig.time.runUntil(900);
		assertThat(String.join(";", this.rig.applied)).isEqualTo("newest 1;" + expected);
	}

	/** Guards against records that are not written again after the store was restored. */
	@ParameterizedTest(name = "{0} routes")
	@ValueSource(ints = { 1, 240 })
	void reportsARestoreDuringTheRead(int routes) {
		startWithConfiguration(routes);
		this.rig.store.append(KeyedStream.OPERATORS, "config", LargeConfiguration.text(3, routes));
		this.rig.store.append(KeyedStream.OPERATORS, "config", LargeConfiguration.text(4, routes));
		announce(9);
		this.rig.store.restore(this.rig.time.millis());
		this.rig.time.runUntil(100);
		assertThat(this.rig.restored).isEqualTo(1);
		assertThat(this.rig.applied).containsExactly("newest 1", "newest 1");
	}

	/**
	 * Guards against CONFIG: an update of every daemon that read a large record after a
	 * gap, which all others take for that of another reader, so that none reads for the
	 * yield time. Small records are sent to those that lack them as well; differences are
	 * followed by an update without records.
	 */
	@ParameterizedTest(name = "announced up to {0}, stored up to {1}, {2} routes: {3} updates")
	@CsvSource({ "8, 8, 1, 1", "8, 8, 240, 0", "9, 9, 240, 0", "9, 10, 240, 2" })
	void sendsOnlyWhatIsNewToOthers(long announced, int stored, int routes, int updates) {
		startWithConfiguration(routes);
		for (int offset = 7; offset < stored; offset++) {
			this.rig.store.append(KeyedStream.OPERATORS, "config", LargeConfiguration.text(offset, routes));
		}
		announce(announced);
		this.rig.time.runUntil(100);
		assertThat(this.rig.updates.stream().filter((update) -> update.next().offset() == stored)).hasSize(updates);
	}

	/**
	 * Guards against an update whose records do not stand in the order of their offsets,
	 * of which a receiver would take a part.
	 */
	@ParameterizedTest(name = "keys {0}: update of {1} records from offset {2}")
	@CsvSource({ "a b c, 0, 10", "a a b, 2, 7", "a a a, 1, 7" })
	void sendsWhatDiffersAfterSkipping(String keys, int records, long from) {
		startWithConfiguration(240);
		for (String key : keys.split(" ")) {
			this.rig.store.append(KeyedStream.OPERATORS, key, "v");
		}
		announce(9);
		this.rig.time.runUntil(100);
		StreamUpdate update = this.rig.updates.get(0);
		assertThat(update.records()).hasSize(records);
		assertThat(update.from().offset()).isEqualTo(from);
	}

	private void startWithConfiguration(int routes) {
		for (int version = 1; version <= 7; version++) {
			this.rig.store.append(KeyedStream.OPERATORS, "config", LargeConfiguration.text(2, routes));
		}
		this.rig.handle(new ReadDue(0));
		this.rig.handle(new SnapshotReceived(new StreamUpdate(KeyedStream.OPERATORS, ReaderRig.position(7),
				ReaderRig.position(7), List.of(configuration(2, routes)))));
		this.rig.store.takeCalls();
	}

	private void update(long fromOffset, long nextOffset, KeyedRecord record) {
		this.rig.handle(new UpdateReceived("other", true, new StreamUpdate(KeyedStream.OPERATORS,
				ReaderRig.position(fromOffset), ReaderRig.position(nextOffset), List.of(record))));
	}

	/** Guards against CONFIG: a large record that each daemon reads from the store. */
	@ParameterizedTest(name = "its base is version {0}: {1}, {2} calls of the store")
	@CsvSource({ "2, newest 1;changes 1, 0", "1, newest 1, 1" })
	void appliesADifferenceToTheRecordThatItHas(int base, String expected, int calls) {
		this.rig.handle(new ReadDue(0));
		this.rig.handle(new SnapshotReceived(new StreamUpdate(KeyedStream.OPERATORS, ReaderRig.position(7),
				ReaderRig.position(7), List.of(configuration(2, 240)))));
		this.rig.handle(new UpdateReceived("other", true,
				new StreamUpdate(KeyedStream.OPERATORS, ReaderRig.position(7), ReaderRig.position(8), List.of(),
						List.of(DifferenceCodec.encode(configuration(base, 240), configuration(3, 240))))));
		assertThat(String.join(";", this.rig.applied)).isEqualTo(expected);
		assertThat(this.rig.store.takeCalls().values().stream().mapToInt(Integer::intValue).sum()).isEqualTo(calls);
	}

	private static KeyedRecord configuration(int version, int routes) {
		return new KeyedRecord("config", Optional.of(Payload.of(LargeConfiguration.text(version, routes))));
	}

}
