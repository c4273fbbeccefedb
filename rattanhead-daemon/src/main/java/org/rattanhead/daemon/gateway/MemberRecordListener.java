package org.rattanhead.daemon.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.function.Consumer;

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

	private final Consumer<List<KeyedRecord>> onNewest;

	private final GatewayStatus status;

	MemberRecordListener(Consumer<Member> onMember, Consumer<StoredSuspectsChanged> onSuspects,
			Consumer<List<KeyedRecord>> onNewest, GatewayStatus status) {
		this.status = status;
		this.onMember = onMember;
		this.onSuspects = onSuspects;
		this.onNewest = onNewest;
	}

	@Override
	public void onNewest(List<KeyedRecord> records) {
		try {
			onChanges(records);
			this.onNewest.accept(records);
		}
		finally {
			this.status.markMembersLoaded();
		}
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
