package org.rattanhead.daemon.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import org.rattanhead.core.Payload;
import org.rattanhead.core.forward.Member;
import org.rattanhead.core.keyed.KeyedRecord;
import org.rattanhead.decision.forward.StoredSuspectsChanged;
import org.rattanhead.platform.keyed.RecordWriter;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of the records that daemons write to the store.
 */
class MemberRecordListenerTests {

	private static final Member SELF = new Member("self", 1, "10.0.0.9:80", "10.0.0.9:90", 0);

	private final List<Member> members = new ArrayList<>();

	private final List<StoredSuspectsChanged> changes = new ArrayList<>();

	private final GatewayStatus status = new GatewayStatus(SELF);

	private final MemberRecordListener listener = new MemberRecordListener(this.members::add, this.changes::add,
			new OwnMemberRecords(new Announcement(SELF, () -> {
			}, (wait) -> {
			}), new RecordWriter(null, (delayMillis, action) -> {
			})), this.status);

	@ParameterizedTest(name = "suspect {0}, blocked {1}")
	@CsvSource({ "0, true", "7, true", "7, false", "-1, true", "96483650265325, false", "-9223372036854775808, true" })
	void readsSuspectsThatDaemonsBlock(long suspect, boolean blocked) {
		Optional<Payload> value = blocked ? Optional.of(SuspectRecordCodec.BLOCKED) : Optional.empty();
		this.listener.onChanges(List.of(new KeyedRecord(SuspectRecordCodec.key(suspect), value)));
		assertThat(this.changes).containsExactly(new StoredSuspectsChanged(blocked ? List.of(suspect) : List.of(),
				blocked ? List.of() : List.of(suspect)));
		assertThat(this.members).isEmpty();
	}

	/**
	 * Guards against a suspect that is blocked again because a restored store has its
	 * deleted record.
	 */
	@ParameterizedTest(name = "known {0}, copy {1}: {2} blocked")
	@CsvSource({ "true, true, 1", "false, true, 0", "true, false, 0" })
	void leavesOutSuspectsDeletedAfterTheCopy(boolean known, boolean copied, int blocked) {
		KeyedRecord record = new KeyedRecord(SuspectRecordCodec.key(7), Optional.of(SuspectRecordCodec.BLOCKED));
		this.listener.onRestored(known ? List.of(record) : List.of());
		this.listener.onNewest(copied ? List.of(record) : List.of());
		assertThat(this.changes).hasSize(blocked);
		this.listener.onNewest(List.of(record));
		assertThat(this.changes).hasSize(blocked + 1);
	}

	@ParameterizedTest(name = "key {0}")
	@ValueSource(strings = { "suspect", "suspect/", "suspect/xyz", "suspect/11112222333344445", "a" })
	void ignoresOtherRecords(String key) {
		this.listener.onNewest(List.of(new KeyedRecord(key, Optional.of(Payload.of("blocked")))));
		assertThat(this.changes).isEmpty();
		assertThat(this.members).isEmpty();
	}

	/**
	 * Guards against a gateway that is ready before it knows the stored suspects, and
	 * against one that never becomes ready because only these cannot be read.
	 */
	@ParameterizedTest(name = "{0} failed reads before and {1} after the other records, then read: {2}")
	@CsvSource({ "0, 0, false, false", "0, 0, true, true", "0, 2, false, false", "0, 2, true, true",
			"0, 3, false, true", "9, 0, false, false", "9, 2, false, false", "9, 3, false, true" })
	void gatewayIsReadyOnceSuspectsAreRead(int before, int after, boolean read, boolean ready) {
		IntStream.range(0, before).forEach((failure) -> this.listener.onReadFailed());
		this.status.markConfigured();
		this.status.markInstancesLoaded();
		IntStream.range(0, after).forEach((failure) -> this.listener.onReadFailed());
		if (read) {
			this.listener.onNewest(List.of());
		}
		assertThat(this.status.ready()).isEqualTo(ready);
	}

}
