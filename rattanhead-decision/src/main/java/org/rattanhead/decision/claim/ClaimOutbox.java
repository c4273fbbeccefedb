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

	private static final int MAX_WAITING_RECORDS = 50_000;

	private static final long PERIOD_NANOS = 20_000_000L;

	private static final long RETRY_NANOS = 200_000_000L;

	private final int maxBatchRecords;

	private final List<ClaimRecord> waiting = new ArrayList<>();

	private List<ClaimRecord> inFlight = List.of();

	private long notBeforeNanos = Long.MIN_VALUE;

	ClaimOutbox(int maxBatchRecords) {
		this.maxBatchRecords = maxBatchRecords;
	}

	void add(ClaimRecord record) {
		if (this.waiting.size() < MAX_WAITING_RECORDS) {
			this.waiting.add(record);
		}
	}

	boolean empty() {
		return this.waiting.isEmpty() && this.inFlight.isEmpty();
	}

	boolean ready(long nowNanos) {
		return this.inFlight.isEmpty() && !this.waiting.isEmpty() && nowNanos >= this.notBeforeNanos;
	}

	List<ClaimRecord> nextBatch(long nowNanos) {
		this.notBeforeNanos = nowNanos + PERIOD_NANOS;
		List<ClaimRecord> head = this.waiting.subList(0, Math.min(this.maxBatchRecords, this.waiting.size()));
		this.inFlight = List.copyOf(head);
		head.clear();
		return this.inFlight;
	}

	void confirmed() {
		this.inFlight = List.of();
	}

	List<ClaimTaken> unconfirmed(long nowNanos) {
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
		this.notBeforeNanos = nowNanos + RETRY_NANOS;
		return taken;
	}

}
