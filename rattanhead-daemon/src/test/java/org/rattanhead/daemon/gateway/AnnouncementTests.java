package org.rattanhead.daemon.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.rattanhead.core.forward.Member;
import org.rattanhead.core.keyed.KeyedRecord;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * When a daemon that starts writes its announcement.
 */
class AnnouncementTests {

	private static final long STARTED_MILLIS = 10_000_000;

	private static final Member SELF = new Member("self", STARTED_MILLIS, "10.0.0.1:1", "10.0.0.1:2", 300);

	private final List<String> events = new ArrayList<>();

	private final Announcement announcement = new Announcement(SELF, () -> this.events.add("write"),
			(wait) -> this.events.add("wait " + wait));

	/** Guards against a missing announcement, and against one that changes nothing. */
	@ParameterizedTest(name = "stored: {0} started {1} ms ago at mesh port {2} with {3} millicores; written {4}")
	@CsvSource({ "self, 30000, 2, 300, false", "self, 300000, 2, 300, false", "self, 300001, 2, 300, true",
			"self, -1, 2, 300, true", "self, 30000, 3, 300, true", "self, 30000, 2, 500, true",
			"other, 30000, 2, 300, true" })
	void writesUnlessARecentStartIsAnnounced(String host, long ageMillis, int port, int millicores, boolean written) {
		Member stored = new Member(host, STARTED_MILLIS - ageMillis, "10.0.0.1:1", "10.0.0.1:" + port, millicores);
		KeyedRecord record = new KeyedRecord(host, Optional.of(MemberRecordCodec.encode(stored)));
		this.announcement.onNewest(List.of(record));
		this.announcement.onNewest(List.of());
		String others = "wait " + !host.equals("self");
		assertThat(this.events).containsExactlyElementsOf(written ? List.of("write", others) : List.of(others));
	}

	/** Guards against a daemon that a restored store no longer announces. */
	@ParameterizedTest(name = "announced at first {0}, restored {1}, in the copy {2}: {3} writes")
	@CsvSource({ "true, true, false, 1", "true, true, true, 0", "true, false, false, 0", "false, true, false, 2" })
	void writesAgainWhatARestoredStoreLacks(boolean first, boolean restored, boolean copied, int writes) {
		KeyedRecord record = new KeyedRecord("self", Optional.of(MemberRecordCodec.encode(SELF)));
		this.announcement.onNewest(first ? List.of(record) : List.of());
		if (restored) {
			this.announcement.onRestored();
		}
		this.announcement.onNewest(copied ? List.of(record) : List.of());
		assertThat(this.events.stream().filter("write"::equals)).hasSize(writes);
	}

	/**
	 * Guards against a daemon that starts again and refuses its callers while it waits
	 * for the records of others, which start again as well.
	 */
	@ParameterizedTest(name = "own start {0} ms ago: waits {1}")
	@CsvSource({ "30000, false", "300001, true" })
	void waitsForOthersOnlyAtItsFirstStart(long ageMillis, boolean waits) {
		List<KeyedRecord> records = Stream.of("self", "other")
			.map((host) -> new Member(host, STARTED_MILLIS - ageMillis, "10.0.0.1:1", "10.0.0.1:2", 300))
			.map((member) -> new KeyedRecord(member.host(), Optional.of(MemberRecordCodec.encode(member))))
			.toList();
		this.announcement.onNewest(records);
		assertThat(this.events).last().isEqualTo("wait " + waits);
	}

}
