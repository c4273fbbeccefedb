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
 * Decides for the daemon that writes the claims of one shard. A question about a key that
 * another request holds waits a while for that request's answer. Correctness does not
 * need it to be the only writer: the order of the log decides. The state is owned by one
 * duty.
 */
public final class ClaimDecider {

	private static final long KEEP_NANOS = 3_600_000_000_000L;

	private static final long REFRESH_NANOS = 600_000_000_000L;

	private static final long READ_RETRY_NANOS = 200_000_000L;

	private static final long PATIENCE_NANOS = 2_000_000_000L;

	private final HandlerTable<ClaimEvent, List<ClaimCommand>> events = new HandlerTable<>();

	private final ClaimBook book = new ClaimBook();

	private final ClaimOutbox outbox;

	private final Map<RequestId, OpenAsk> open = new HashMap<>();

	private final Set<RequestId> written = new HashSet<>();

	private final Map<RequestId, Long> released = new HashMap<>();

	private long nextOffset;

	private boolean active;

	private boolean reading;

	private boolean caughtUp;

	private long readAgainNanos = Long.MIN_VALUE;

	private long refreshNanos = Long.MAX_VALUE;

	/**
	 * Creates the decider of one shard.
	 * @param maxBatchRecords the most records in one append
	 */
	public ClaimDecider(int maxBatchRecords) {
		this.outbox = new ClaimOutbox(maxBatchRecords);
		this.events.on(ClaimOrderReceived.class, this::order)
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
	 * Tells whether nothing but the arrival of new records can change anything soon.
	 * @return true if no question is open, nothing is to be written and a read is under
	 * way
	 */
	public boolean idle() {
		boolean waiting = this.reading || !this.active;
		return this.open.isEmpty() && this.outbox.empty() && waiting;
	}

	private List<ClaimCommand> order(ClaimOrderReceived event, long nowNanos) {
		if (event.order() instanceof AcquireClaim ask) {
			long untilNanos = Math.min(ask.deadlineNanos(), nowNanos + PATIENCE_NANOS);
			this.open.put(ask.request(), new OpenAsk(event.fromHost(), ask, untilNanos));
		}
		else if (event.order() instanceof ReleaseClaim release) {
			this.open.remove(release.request());
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
		this.refreshNanos = this.active ? nowNanos + REFRESH_NANOS : Long.MAX_VALUE;
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
		event.records().forEach((placed) -> apply(placed, nowNanos));
		this.nextOffset = event.nextOffset();
		this.caughtUp = this.caughtUp || event.nextOffset() == event.fromOffset();
		return proceed(nowNanos);
	}

	private void apply(PlacedRecord placed, long nowNanos) {
		this.book.apply(placed, nowNanos);
		if (placed.record() instanceof ClaimTaken taken) {
			this.written.remove(taken.request());
			if (this.released.containsKey(taken.request())) {
				this.outbox.add(new ClaimReleased(taken.key(), taken.request()));
			}
		}
	}

	private List<ClaimCommand> readFailed(long nowNanos) {
		this.reading = false;
		this.readAgainNanos = nowNanos + READ_RETRY_NANOS;
		return proceed(nowNanos);
	}

	private List<ClaimCommand> appended(ClaimsAppended event, long nowNanos) {
		if (event.confirmed()) {
			this.outbox.confirmed();
		}
		else {
			this.outbox.unconfirmed(nowNanos).forEach((taken) -> this.written.remove(taken.request()));
		}
		return proceed(nowNanos);
	}

	private List<ClaimCommand> tick(long nowNanos) {
		List<ClaimCommand> commands = new ArrayList<>();
		for (OpenAsk ask : List.copyOf(this.open.values())) {
			if (nowNanos >= ask.untilNanos()) {
				commands.add(answer(ask, lateVerdict(ask.ask())));
			}
		}
		if (nowNanos >= this.refreshNanos && this.caughtUp) {
			refresh(nowNanos);
		}
		commands.addAll(proceed(nowNanos));
		return commands;
	}

	private void refresh(long nowNanos) {
		this.refreshNanos = nowNanos + REFRESH_NANOS;
		this.book.forgetSeenBefore(nowNanos - KEEP_NANOS);
		this.released.values().removeIf((atNanos) -> atNanos < nowNanos - KEEP_NANOS);
		this.book.refreshes(this.nextOffset).forEach(this.outbox::add);
	}

	private List<ClaimCommand> proceed(long nowNanos) {
		List<ClaimCommand> commands = new ArrayList<>();
		if (this.caughtUp) {
			for (OpenAsk ask : List.copyOf(this.open.values())) {
				verdict(ask).filter((verdict) -> verdict.outcome() != ClaimOutcome.HELD)
					.ifPresent((verdict) -> commands.add(answer(ask, verdict)));
			}
		}
		boolean needed = this.active || !this.open.isEmpty() || !this.outbox.empty();
		if (needed && !this.reading && nowNanos >= this.readAgainNanos) {
			this.reading = true;
			commands.add(new ReadClaims(this.nextOffset, this.caughtUp));
		}
		if (this.outbox.ready(nowNanos)) {
			commands.add(new AppendClaims(this.outbox.nextBatch(nowNanos)));
		}
		return commands;
	}

	private Optional<ClaimVerdict> verdict(OpenAsk open) {
		AcquireClaim ask = open.ask();
		Optional<HeldClaim> held = this.book.find(ask.key());
		if (held.isEmpty()) {
			if (this.written.add(ask.request())) {
				this.outbox.add(new ClaimTaken(ask.key(), ask.digest(), ask.request()));
			}
			return Optional.empty();
		}
		return Optional.of(verdict(ask, held.get()));
	}

	private ClaimVerdict lateVerdict(AcquireClaim ask) {
		return this.book.find(ask.key())
			.filter((held) -> this.caughtUp)
			.map((held) -> verdict(ask, held))
			.orElse(ClaimVerdict.of(ask.request(), ClaimOutcome.UNAVAILABLE));
	}

	private static ClaimVerdict verdict(AcquireClaim ask, HeldClaim held) {
		if (held.request().equals(ask.request())) {
			return ClaimVerdict.of(ask.request(), ClaimOutcome.GRANTED);
		}
		if (!held.digest().equals(ask.digest())) {
			return ClaimVerdict.of(ask.request(), ClaimOutcome.KEY_REUSED);
		}
		return held.answer()
			.map((answer) -> new ClaimVerdict(ask.request(), ClaimOutcome.ANSWERED, Optional.of(answer)))
			.orElse(ClaimVerdict.of(ask.request(), ClaimOutcome.HELD));
	}

	private SendVerdict answer(OpenAsk open, ClaimVerdict verdict) {
		this.open.remove(open.ask().request());
		this.written.remove(open.ask().request());
		return new SendVerdict(open.fromHost(), verdict);
	}

}
