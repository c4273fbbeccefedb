package org.rattanhead.platform.keyed;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;

import org.rattanhead.core.Payload;
import org.rattanhead.core.keyed.KeyedRecord;
import org.rattanhead.core.keyed.KeyedStream;
import org.rattanhead.core.keyed.StreamPosition;
import org.rattanhead.core.keyed.StreamUpdate;

/**
 * A reader of the operators' records with a store, in virtual time. Records what it
 * applies and sends.
 */
final class ReaderRig {

	private static final FollowPlan PLAN = new FollowPlans().plan(KeyedStream.OPERATORS);

	final VirtualTime time = new VirtualTime();

	final SimulatedStore store = new SimulatedStore(this.time);

	final List<String> applied = new ArrayList<>();

	final List<String> requested = new ArrayList<>();

	final List<StreamUpdate> updates = new ArrayList<>();

	final List<StreamUpdate> sent = new ArrayList<>();

	/** How often the listener was told that the store was restored. */
	int restored;

	private final StreamReader reader = new StreamReader(this.store.connect("self"), () -> PLAN,
			new ReadSchedule(() -> PLAN, new Random(1), 0), new KeyedListener() {
				@Override
				public void onRestored(List<KeyedRecord> known) {
					ReaderRig.this.restored++;
				}

				@Override
				public void onNewest(List<KeyedRecord> records) {
					ReaderRig.this.applied.add("newest " + records.size());
				}

				@Override
				public void onChanges(List<KeyedRecord> records) {
					ReaderRig.this.applied.add("changes " + records.size());
				}

				@Override
				public void onReadFailed() {
					ReaderRig.this.applied.add("failed");
				}
			}, new StreamPeers() {
				@Override
				public void sendUpdate(StreamUpdate update) {
					ReaderRig.this.updates.add(update);
				}

				@Override
				public void requestSnapshot(KeyedStream stream, String host) {
					ReaderRig.this.requested.add(host);
				}

				@Override
				public void sendSnapshot(String host, StreamUpdate snapshot) {
					ReaderRig.this.sent.add(snapshot);
				}
			}, (stream, position, source) -> {
			}, this.time, this::handle);

	void handle(FollowEvent event) {
		this.reader.handle(event, this.time.nanos());
	}

	static StreamPosition position(long offset) {
		return new StreamPosition(SimulatedStore.FIRST_ERA, offset);
	}

	static KeyedRecord record(String key, int bytes) {
		return new KeyedRecord(key, Optional.of(Payload.of("v".repeat(bytes))));
	}

}
