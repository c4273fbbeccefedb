package org.rattanhead.daemon.gateway;

import java.util.List;
import java.util.function.Consumer;

import org.rattanhead.core.forward.Member;
import org.rattanhead.core.keyed.KeyedRecord;
import org.rattanhead.platform.keyed.KeyedListener;

/**
 * Decodes the announcements of daemons and passes them on.
 */
final class MemberRecordListener implements KeyedListener {

	private final Consumer<Member> onMember;

	MemberRecordListener(Consumer<Member> onMember) {
		this.onMember = onMember;
	}

	@Override
	public void onNewest(List<KeyedRecord> records) {
		onChanges(records);
	}

	@Override
	public void onChanges(List<KeyedRecord> records) {
		records.forEach((record) -> record.value()
			.flatMap((value) -> MemberRecordCodec.decode(record.key(), value))
			.ifPresent(this.onMember));
	}

	@Override
	public void onReadFailed() {
		// Daemons still receive heartbeats from each other.
	}

}
