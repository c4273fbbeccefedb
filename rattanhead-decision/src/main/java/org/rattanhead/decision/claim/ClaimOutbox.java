package org.rattanhead.decision.claim;

import java.util.ArrayList;
import java.util.List;

import org.rattanhead.core.claim.ClaimRecord;
import org.rattanhead.core.claim.ClaimTaken;

/**
 * A queue of records to append to the log, with at most one batch in flight. Owned by one
 * duty.
 */
final class ClaimOutbox {

	private static final int MAX_QUEUED_RECORDS = 50_000;

	private static final long APPEND_INTERVAL_NANOS = 20_000_000L;

	private static final long RETRY_DELAY_NANOS = 200_000_000L;

	private final int maxBatchRecords;

	private final List<ClaimRecord> queued = new ArrayList<>();

	private List<ClaimRecord> inFlight = List.of();

	private long nextAppendNanos = Long.MIN_VALUE;

	ClaimOutbox(int maxBatchRecords) {
		this.maxBatchRecords = maxBatchRecords;
	}

	void add(ClaimRecord record) {
		if (this.queued.size() < MAX_QUEUED_RECORDS) {
			this.queued.add(record);
		}
	}

	boolean empty() {
		return this.queued.isEmpty() && this.inFlight.isEmpty();
	}

	boolean ready(long nowNanos) {
		return this.inFlight.isEmpty() && !this.queued.isEmpty() && nowNanos >= this.nextAppendNanos;
	}

	List<ClaimRecord> nextBatch(long nowNanos) {
		this.nextAppendNanos = nowNanos + APPEND_INTERVAL_NANOS;
		List<ClaimRecord> head = this.queued.subList(0, Math.min(this.maxBatchRecords, this.queued.size()));
		this.inFlight = List.copyOf(head);
		head.clear();
		return this.inFlight;
	}

	void batchConfirmed() {
		this.inFlight = List.of();
	}

	List<ClaimTaken> batchUnconfirmed(long nowNanos) {
		List<ClaimTaken> taken = new ArrayList<>();
		for (ClaimRecord record : this.inFlight) {
			if (record instanceof ClaimTaken claim) {
				taken.add(claim);
			}
			else {
				add(record);
			}
		}
		this.inFlight = List.of();
		this.nextAppendNanos = nowNanos + RETRY_DELAY_NANOS;
		return taken;
	}

}
