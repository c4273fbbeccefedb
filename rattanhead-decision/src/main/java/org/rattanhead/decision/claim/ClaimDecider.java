package org.rattanhead.decision.claim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.rattanhead.core.HandlerTable;
import org.rattanhead.core.claim.AcquireClaim;
import org.rattanhead.core.claim.ClaimAnswered;
import org.rattanhead.core.claim.ClaimOutcome;
import org.rattanhead.core.claim.ClaimReleased;
import org.rattanhead.core.claim.ClaimTaken;
import org.rattanhead.core.claim.ClaimVerdict;
import org.rattanhead.core.claim.ReleaseClaim;
import org.rattanhead.core.claim.ReportAnswer;
import org.rattanhead.core.request.RequestId;

/**
 * Makes the decisions of the daemon that writes the claims of one shard. An order for a
 * key that another request holds waits for that request's answer until a timeout.
 * Correctness does not depend on a single writer, because the order of the log decides
 * which request holds a key. The state is owned by one duty.
 */
public final class ClaimDecider {

	private static final long RETENTION_NANOS = 3_600_000_000_000L;

	private static final long REFRESH_INTERVAL_NANOS = 600_000_000_000L;

	private static final long READ_RETRY_DELAY_NANOS = 200_000_000L;

	private static final long VERDICT_TIMEOUT_NANOS = 2_000_000_000L;

	private final HandlerTable<ClaimEvent, List<ClaimCommand>> events = new HandlerTable<>();

	private final ClaimTable claims = new ClaimTable();

	private final ClaimOutbox outbox;

	private final Map<RequestId, PendingClaim> pending = new HashMap<>();

	private final Set<RequestId> awaitingReadBack = new HashSet<>();

	private final Map<RequestId, Long> released = new HashMap<>();

	private long nextOffset;

	private boolean active;

	private boolean reading;

	private boolean caughtUp;

	private long nextReadNanos = Long.MIN_VALUE;

	private long nextRefreshNanos = Long.MAX_VALUE;

	/**
	 * Creates the decider of one shard.
	 * @param maxBatchRecords the maximum number of records in one append
	 */
	public ClaimDecider(int maxBatchRecords) {
		this.outbox = new ClaimOutbox(maxBatchRecords);
		this.events.on(ClaimOrderReceived.class, this::orderReceived)
			.on(ClaimsAppended.class, this::appended)
			.on(ClaimsRead.class, this::read)
			.on(ClaimsReadFailed.class, (event, now) -> readFailed(now))
			.on(ClaimWriterChanged.class, this::writerChanged)
			.on(ClaimTick.class, (event, now) -> tick(now))
			.covering(ClaimEvent.class);
	}

	/**
	 * Decides on one event.
	 * @param event the event
	 * @param nowNanos the time on the monotonic clock, in nanoseconds
	 * @return the commands, in order
	 */
	public List<ClaimCommand> decide(ClaimEvent event, long nowNanos) {
		return this.events.handle(event, nowNanos);
	}

	/**
	 * Returns whether only new log records can change the state until the next refresh.
	 * @return true if no order is pending, no record is to be appended, and a read is in
	 * flight or this daemon is not the writer
	 */
	public boolean idle() {
		boolean waiting = this.reading || !this.active;
		return this.pending.isEmpty() && this.outbox.empty() && waiting;
	}

	private List<ClaimCommand> orderReceived(ClaimOrderReceived event, long nowNanos) {
		if (event.order() instanceof AcquireClaim order) {
			long expiryNanos = Math.min(order.deadlineNanos(), nowNanos + VERDICT_TIMEOUT_NANOS);
			this.pending.put(order.request(), new PendingClaim(event.fromHost(), order, expiryNanos));
		}
		else if (event.order() instanceof ReleaseClaim release) {
			this.pending.remove(release.request());
			this.released.put(release.request(), nowNanos);
			this.outbox.add(new ClaimReleased(release.key(), release.request()));
		}
		else if (event.order() instanceof ReportAnswer report) {
			this.outbox.add(new ClaimAnswered(report.key(), report.request(), report.answer()));
		}
		return proceed(nowNanos);
	}

	private List<ClaimCommand> writerChanged(ClaimWriterChanged event, long nowNanos) {
		this.active = event.writer();
		this.nextRefreshNanos = this.active ? nowNanos + REFRESH_INTERVAL_NANOS : Long.MAX_VALUE;
		return proceed(nowNanos);
	}

	private List<ClaimCommand> read(ClaimsRead event, long nowNanos) {
		this.reading = false;
		if (event.fromOffset() != this.nextOffset) {
			return proceed(nowNanos);
		}
		if (event.firstOffset() > this.nextOffset) {
			this.caughtUp = false;
		}
		event.records().forEach((logged) -> apply(logged, nowNanos));
		this.nextOffset = event.nextOffset();
		this.caughtUp = this.caughtUp || event.nextOffset() == event.fromOffset();
		return proceed(nowNanos);
	}

	private void apply(LoggedRecord logged, long nowNanos) {
		this.claims.apply(logged, nowNanos);
		if (logged.record() instanceof ClaimTaken taken) {
			this.awaitingReadBack.remove(taken.request());
			if (this.released.containsKey(taken.request())) {
				this.outbox.add(new ClaimReleased(taken.key(), taken.request()));
			}
		}
	}

	private List<ClaimCommand> readFailed(long nowNanos) {
		this.reading = false;
		this.nextReadNanos = nowNanos + READ_RETRY_DELAY_NANOS;
		return proceed(nowNanos);
	}

	private List<ClaimCommand> appended(ClaimsAppended event, long nowNanos) {
		if (event.confirmed()) {
			this.outbox.batchConfirmed();
		}
		else {
			this.outbox.batchUnconfirmed(nowNanos).forEach((taken) -> this.awaitingReadBack.remove(taken.request()));
		}
		return proceed(nowNanos);
	}

	private List<ClaimCommand> tick(long nowNanos) {
		List<ClaimCommand> commands = new ArrayList<>();
		for (PendingClaim claim : List.copyOf(this.pending.values())) {
			if (nowNanos >= claim.expiryNanos()) {
				commands.add(sendVerdict(claim, expiryVerdict(claim.order())));
			}
		}
		if (nowNanos >= this.nextRefreshNanos && this.caughtUp) {
			refresh(nowNanos);
		}
		commands.addAll(proceed(nowNanos));
		return commands;
	}

	private void refresh(long nowNanos) {
		this.nextRefreshNanos = nowNanos + REFRESH_INTERVAL_NANOS;
		this.claims.removeSeenBefore(nowNanos - RETENTION_NANOS);
		this.released.values().removeIf((atNanos) -> atNanos < nowNanos - RETENTION_NANOS);
		this.claims.refreshes(this.nextOffset).forEach(this.outbox::add);
	}

	private List<ClaimCommand> proceed(long nowNanos) {
		List<ClaimCommand> commands = new ArrayList<>();
		if (this.caughtUp) {
			for (PendingClaim claim : List.copyOf(this.pending.values())) {
				verdict(claim).filter((verdict) -> verdict.outcome() != ClaimOutcome.HELD)
					.ifPresent((verdict) -> commands.add(sendVerdict(claim, verdict)));
			}
		}
		boolean needed = this.active || !this.pending.isEmpty() || !this.outbox.empty();
		if (needed && !this.reading && nowNanos >= this.nextReadNanos) {
			this.reading = true;
			commands.add(new ReadClaims(this.nextOffset, this.caughtUp));
		}
		if (this.outbox.ready(nowNanos)) {
			commands.add(new AppendClaims(this.outbox.nextBatch(nowNanos)));
		}
		return commands;
	}

	private Optional<ClaimVerdict> verdict(PendingClaim claim) {
		AcquireClaim order = claim.order();
		Optional<HeldClaim> held = this.claims.find(order.key());
		if (held.isEmpty()) {
			if (this.awaitingReadBack.add(order.request())) {
				this.outbox.add(new ClaimTaken(order.key(), order.digest(), order.request()));
			}
			return Optional.empty();
		}
		return Optional.of(verdict(order, held.get()));
	}

	private ClaimVerdict expiryVerdict(AcquireClaim order) {
		return this.claims.find(order.key())
			.filter((held) -> this.caughtUp)
			.map((held) -> verdict(order, held))
			.orElse(ClaimVerdict.of(order.request(), ClaimOutcome.UNAVAILABLE));
	}

	private static ClaimVerdict verdict(AcquireClaim order, HeldClaim held) {
		if (held.request().equals(order.request())) {
			return ClaimVerdict.of(order.request(), ClaimOutcome.GRANTED);
		}
		if (!held.digest().equals(order.digest())) {
			return ClaimVerdict.of(order.request(), ClaimOutcome.KEY_REUSED);
		}
		return held.answer()
			.map((answer) -> new ClaimVerdict(order.request(), ClaimOutcome.ANSWERED, Optional.of(answer)))
			.orElse(ClaimVerdict.of(order.request(), ClaimOutcome.HELD));
	}

	private SendVerdict sendVerdict(PendingClaim claim, ClaimVerdict verdict) {
		this.pending.remove(claim.order().request());
		this.awaitingReadBack.remove(claim.order().request());
		return new SendVerdict(claim.fromHost(), verdict);
	}

}
