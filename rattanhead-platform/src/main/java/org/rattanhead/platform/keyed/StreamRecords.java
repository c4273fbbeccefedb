package org.rattanhead.platform.keyed;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.rattanhead.core.keyed.KeyedRecord;
import org.rattanhead.core.keyed.KeyedStream;
import org.rattanhead.core.keyed.RecordDifference;
import org.rattanhead.core.keyed.StreamPosition;
import org.rattanhead.core.keyed.StreamUpdate;

/**
 * The newest record of each key of a stream. Reports what changes to the listener and, if
 * this daemon read it, to the other daemons.
 */
final class StreamRecords {

	private final KeyedStream stream;

	private final KeyedListener listener;

	private final StreamPeers peers;

	private final ListenerNotifications notifications;

	private final NewestRecords newest;

	StreamRecords(KeyedStream stream, KeyedListener listener, StreamPeers peers) {
		this.stream = stream;
		this.listener = listener;
		this.peers = peers;
		this.notifications = new ListenerNotifications(stream);
		this.newest = new NewestRecords(stream, RecordBudget.ofHeap());
	}

	List<KeyedRecord> all() {
		return this.newest.all();
	}

	/**
	 * Replaces all records.
	 * @param records the newest record of each key
	 */
	void replace(List<KeyedRecord> records) {
		List<KeyedRecord> kept = this.newest.replace(records);
		this.notifications.run(() -> this.listener.onNewest(kept));
	}

	/**
	 * Applies changes that this daemon read.
	 * @param from the position at which the page starts
	 * @param page the page
	 * @param announced whether another daemon has announced them; large records are not
	 * sent again then, since each daemon that reads them would take the next for the
	 * reader
	 */
	void applyRead(StreamPosition from, KeyedPage page, boolean announced) {
		// Only differences need the earlier records.
		Map<String, KeyedRecord> before = NewestRecords.fitMessage(page.records()) ? Map.of() : this.newest.byKey();
		List<KeyedRecord> applied = this.newest.apply(page.records());
		this.notifications.run(() -> {
			List<KeyedRecord> relevant = this.listener.selectRelevant(applied);
			this.listener.onChanges(applied);
			if (!announced || NewestRecords.fitMessage(relevant)) {
				sendUpdate(StreamUpdates.isComplete(page, from) ? from : page.next(), page.next(), relevant, before);
			}
		});
	}

	/**
	 * Replaces all records by newer ones that this daemon read in place of the changes.
	 * @param from the position up to which the earlier records were known
	 * @param next the position after the newest records
	 * @param records the newest record of each key
	 * @param announced whether another daemon has announced them; what differs is not
	 * sent then
	 */
	void replaceSkipped(StreamPosition from, StreamPosition next, List<KeyedRecord> records, boolean announced) {
		Map<String, KeyedRecord> before = this.newest.byKey();
		replace(records);
		List<KeyedRecord> changed = this.newest.changedSince(before);
		// Receivers would take as many records for those of each offset, in order.
		boolean distinct = changed.size() < next.offset() - from.offset();
		if (!announced) {
			this.notifications.run(() -> sendUpdate(distinct ? from : next, next, changed, before));
		}
	}

	private void sendUpdate(StreamPosition from, StreamPosition next, List<KeyedRecord> relevant,
			Map<String, KeyedRecord> before) {
		if (from.equals(next)) {
			announce(next);
			return;
		}
		StreamUpdate update = StreamUpdates.create(this.stream, from, next, relevant, before);
		this.peers.sendUpdate(update);
		if (!update.differences().isEmpty()) {
			// Shows a gap to daemons that lost the differences or cannot decode them.
			announce(next);
		}
	}

	/**
	 * Returns whether a record is larger than a message to other daemons.
	 * @return true if there is such a record
	 */
	boolean hasLarge() {
		return this.newest.all().stream().anyMatch((record) -> !NewestRecords.fitMessage(List.of(record)));
	}

	/**
	 * Returns the records of an update, with those that it has as differences.
	 * @param update the update
	 * @param needed the position of the next record that the daemon needs
	 * @return the records, empty if a difference does not fit to the records of this
	 * daemon
	 */
	Optional<List<KeyedRecord>> resolve(StreamUpdate update, StreamPosition needed) {
		List<KeyedRecord> records = new ArrayList<>(StreamUpdates.selectNew(update, needed));
		if (update.next().equals(needed)) {
			return Optional.of(records);
		}
		for (RecordDifference difference : update.differences()) {
			Optional<KeyedRecord> record = this.newest.find(difference.key())
				.flatMap((base) -> DifferenceCodec.decode(base, difference));
			if (record.isEmpty()) {
				return Optional.empty();
			}
			records.add(record.orElseThrow());
		}
		return Optional.of(records);
	}

	/**
	 * Applies changes that another daemon sent.
	 * @param changes the changes
	 */
	void applyReceived(List<KeyedRecord> changes) {
		List<KeyedRecord> applied = this.newest.apply(changes);
		this.notifications.run(() -> this.listener.onChanges(applied));
	}

	/**
	 * Tells the listener that the store has come back from an older copy.
	 */
	void restored() {
		this.notifications.run(() -> this.listener.onRestored(all()));
	}

	/**
	 * Tells the other daemons up to where this one knows the stream.
	 * @param next the position of the next record
	 */
	void announce(StreamPosition next) {
		this.peers.sendUpdate(new StreamUpdate(this.stream, next, next, List.of()));
	}

	void readFailed() {
		this.notifications.run(this.listener::onReadFailed);
	}

}
