package org.rattanhead.daemon.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

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
			(others) -> this.events.add("others " + others));

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
		String others = "others " + !host.equals("self");
		assertThat(this.events).containsExactlyElementsOf(written ? List.of("write", others) : List.of(others));
	}

}
