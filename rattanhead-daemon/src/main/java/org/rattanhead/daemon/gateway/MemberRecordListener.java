package org.rattanhead.daemon.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;

import org.rattanhead.core.forward.Member;
import org.rattanhead.core.keyed.KeyedRecord;
import org.rattanhead.decision.forward.StoredSuspectsChanged;
import org.rattanhead.platform.keyed.KeyedListener;

/**
 * Decodes the records that daemons write: their announcements and the suspects that they
 * block.
 */
final class MemberRecordListener implements KeyedListener {

	private final Consumer<Member> onMember;

	private final Consumer<StoredSuspectsChanged> onSuspects;

	private final OwnMemberRecords own;

	/** The keys of suspects that were known before the store was restored. */
	private Optional<Set<String>> restoredKeys = Optional.empty();

	private final GatewayStatus status;

	MemberRecordListener(Consumer<Member> onMember, Consumer<StoredSuspectsChanged> onSuspects, OwnMemberRecords own,
			GatewayStatus status) {
		this.status = status;
		this.onMember = onMember;
		this.onSuspects = onSuspects;
		this.own = own;
	}

	@Override
	public void onRestored(List<KeyedRecord> known) {
		this.restoredKeys = Optional.of(known.stream().map(KeyedRecord::key).collect(Collectors.toSet()));
		this.own.onRestored(known);
	}

	/**
	 * Leaves out suspects that a restored copy has and this daemon did not know: their
	 * records were deleted after the copy was made.
	 */
	@Override
	public void onNewest(List<KeyedRecord> records) {
		try {
			onChanges(records.stream().filter((record) -> !isDeletedSuspect(record)).toList());
			this.own.onNewest(records);
		}
		finally {
			this.restoredKeys = Optional.empty();
			this.status.markMembersLoaded();
		}
	}

	private boolean isDeletedSuspect(KeyedRecord record) {
		return SuspectRecordCodec.suspect(record.key()).isPresent()
				&& this.restoredKeys.filter((keys) -> !keys.contains(record.key())).isPresent();
	}

	@Override
	public void onChanges(List<KeyedRecord> records) {
		List<Long> stored = new ArrayList<>();
		List<Long> deleted = new ArrayList<>();
		for (KeyedRecord record : records) {
			OptionalLong suspect = SuspectRecordCodec.suspect(record.key());
			if (suspect.isPresent()) {
				(record.value().isPresent() ? stored : deleted).add(suspect.getAsLong());
			}
			else {
				record.value()
					.flatMap((value) -> MemberRecordCodec.decode(record.key(), value))
					.ifPresent(this.onMember);
			}
		}
		if (!stored.isEmpty() || !deleted.isEmpty()) {
			this.onSuspects.accept(new StoredSuspectsChanged(stored, deleted));
		}
	}

	@Override
	public void onReadFailed() {
		// Daemons still receive heartbeats from each other.
		this.status.memberReadFailed();
	}

}
