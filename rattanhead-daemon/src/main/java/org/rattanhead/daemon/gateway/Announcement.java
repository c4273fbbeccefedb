package org.rattanhead.daemon.gateway;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import org.rattanhead.core.forward.Member;
import org.rattanhead.core.keyed.KeyedRecord;

/**
 * Announces this daemon after a start, once the announcements of all daemons were read,
 * and again if the store has lost the announcement. A daemon that starts again soon at
 * the same addresses leaves its announcement as it is, since the others learn the time of
 * its start from its heartbeats.
 */
final class Announcement {

	/**
	 * How old the stored start of this daemon may be. Others forget a daemon that they do
	 * not receive messages from 10 minutes after they have read its announcement.
	 */
	private static final long MAX_AGE_MILLIS = TimeUnit.MINUTES.toMillis(5);

	private final Member self;

	private final Runnable write;

	private final Consumer<Boolean> onPeersKnown;

	private boolean started;

	private boolean restored;

	/**
	 * Creates the announcement.
	 * @param self this daemon
	 * @param write writes the announcement to the store
	 * @param onPeersKnown receives whether to wait for the records of other daemons
	 */
	Announcement(Member self, Runnable write, Consumer<Boolean> onPeersKnown) {
		this.self = self;
		this.write = write;
		this.onPeersKnown = onPeersKnown;
	}

	/** Lets the next newest records be checked as at the start. */
	void onRestored() {
		this.restored = true;
	}

	void onNewest(List<KeyedRecord> records) {
		if (this.started && !this.restored) {
			return;
		}
		this.restored = false;
		List<Member> members = records.stream().flatMap((record) -> decode(record).stream()).toList();
		boolean announced = members.stream().anyMatch(this::announcesSelf);
		if (!announced) {
			this.write.run();
		}
		if (this.started) {
			return;
		}
		this.started = true;
		// Callers still use the address of a daemon that starts again, and it refuses
		// them until it has read. If all daemons start again, none has records to send.
		boolean others = members.stream().anyMatch((member) -> !member.host().equals(this.self.host()));
		this.onPeersKnown.accept(others && !announced);
	}

	private boolean announcesSelf(Member stored) {
		long ageMillis = this.self.startedMillis() - stored.startedMillis();
		return ageMillis >= 0 && ageMillis <= MAX_AGE_MILLIS
				&& stored.equals(new Member(this.self.host(), stored.startedMillis(), this.self.callersAddress(),
						this.self.meshAddress(), this.self.processorMillicores()));
	}

	private static Optional<Member> decode(KeyedRecord record) {
		return record.value().flatMap((value) -> MemberRecordCodec.decode(record.key(), value));
	}

}
