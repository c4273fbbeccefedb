package org.rattanhead.decision.claim;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.rattanhead.core.HandlerTable;
import org.rattanhead.core.claim.ClaimAnswered;
import org.rattanhead.core.claim.ClaimKey;
import org.rattanhead.core.claim.ClaimRecord;
import org.rattanhead.core.claim.ClaimRefreshed;
import org.rattanhead.core.claim.ClaimReleased;
import org.rattanhead.core.claim.ClaimTaken;

/**
 * The claims in force, derived from the records of the log in order. Every reader of the
 * same records derives the same claims. Owned by one duty.
 */
final class ClaimTable {

	private final Map<ClaimKey, HeldClaim> held = new HashMap<>();

	private final HandlerTable<ClaimRecord, Boolean> handlers = new HandlerTable<ClaimRecord, Boolean>()
		.on(ClaimTaken.class, this::applyTaken)
		.on(ClaimReleased.class, (record, now) -> applyReleased(record))
		.on(ClaimAnswered.class, (record, now) -> applyAnswered(record))
		.on(ClaimRefreshed.class, this::applyRefreshed)
		.covering(ClaimRecord.class);

	private long offset;

	void apply(LoggedRecord logged, long nowNanos) {
		this.offset = logged.offset();
		this.handlers.handle(logged.record(), nowNanos);
	}

	Optional<HeldClaim> find(ClaimKey key) {
		return Optional.ofNullable(this.held.get(key));
	}

	void removeSeenBefore(long nanos) {
		this.held.values().removeIf((claim) -> claim.seenNanos() < nanos);
	}

	List<ClaimRecord> refreshes(long asOfOffset) {
		return this.held.entrySet()
			.stream()
			.<ClaimRecord>map((entry) -> new ClaimRefreshed(entry.getKey(), entry.getValue().digest(),
					entry.getValue().request(), entry.getValue().answer(), asOfOffset))
			.toList();
	}

	private boolean applyTaken(ClaimTaken record, long nowNanos) {
		return this.held.putIfAbsent(record.key(),
				new HeldClaim(record.digest(), record.request(), Optional.empty(), this.offset, nowNanos)) == null;
	}

	private boolean applyReleased(ClaimReleased record) {
		HeldClaim claim = this.held.get(record.key());
		boolean heldByRequest = claim != null && claim.request().equals(record.request()) && claim.answer().isEmpty();
		return heldByRequest && this.held.remove(record.key(), claim);
	}

	private boolean applyAnswered(ClaimAnswered record) {
		HeldClaim claim = this.held.get(record.key());
		boolean heldByRequest = claim != null && claim.request().equals(record.request());
		return heldByRequest && this.held.put(record.key(), claim.withAnswer(record.answer())) != null;
	}

	private boolean applyRefreshed(ClaimRefreshed record, long nowNanos) {
		HeldClaim before = this.held.get(record.key());
		boolean sameRequest = before != null && before.request().equals(record.request());
		boolean overrides = before == null || sameRequest || before.takenOffset() < record.asOfOffset();
		if (overrides) {
			long takenOffset = sameRequest ? before.takenOffset() : this.offset;
			this.held.put(record.key(),
					new HeldClaim(record.digest(), record.request(),
							record.answer().or(() -> sameRequest ? before.answer() : Optional.empty()), takenOffset,
							(before != null) ? before.seenNanos() : nowNanos));
		}
		return overrides;
	}

}
