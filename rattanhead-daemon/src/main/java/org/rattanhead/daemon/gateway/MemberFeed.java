package org.rattanhead.daemon.gateway;

import java.util.List;
import java.util.function.Consumer;

import org.rattanhead.core.forward.Member;
import org.rattanhead.core.keyed.KeyedRecord;
import org.rattanhead.platform.keyed.KeyedListener;

/**
 * Hands on the announcements of daemons.
 */
final class MemberFeed implements KeyedListener {

	private final Consumer<Member> members;

	MemberFeed(Consumer<Member> members) {
		this.members = members;
	}

	@Override
	public void onNewest(List<KeyedRecord> records) {
		onChanges(records);
	}

	@Override
	public void onChanges(List<KeyedRecord> records) {
		records.forEach((record) -> record.value()
			.flatMap((value) -> MemberRecords.decode(record.key(), value))
			.ifPresent(this.members));
	}

	@Override
	public void onReadFailed() {
		// The daemons go on telling each other.
	}

}
