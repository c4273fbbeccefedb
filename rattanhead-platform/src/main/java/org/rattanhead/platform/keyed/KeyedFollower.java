package org.rattanhead.platform.keyed;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

import org.rattanhead.core.HandlerTable;
import org.rattanhead.core.keyed.KeyedRecord;
import org.rattanhead.core.keyed.StreamUpdate;
import org.rattanhead.ring.Duty;
import org.rattanhead.ring.Ticker;
import org.rattanhead.ring.Urgency;

/**
 * The duty that follows a stream: it reads the newest record of each key, then the
 * changes. After a gap it reads the newest records again. Daemons send each other the
 * records that they read, so that one of them reads for all.
 */
public final class KeyedFollower implements AutoCloseable {

	private static final Logger LOGGER = LogManager.getLogger(KeyedFollower.class);

	private static final int RING_SLOTS = 64;

	/**
	 * The maximum size of keys and values in an update to other daemons; it fits into a
	 * datagram even if it does not compress.
	 */
	private static final int MAX_UPDATE_BYTES = 32 * 1024;

	private static final long NO_OFFSET = -1;

	private final KeyedStore store;

	private final FollowPlan plan;

	private final KeyedListener listener;

	private final Ticker ticker;

	private final Consumer<StreamUpdate> updateSender;

	private final ReadSchedule schedule;

	private final Duty<FollowEvent> duty;

	private final List<KeyedRecord> collected = new ArrayList<>();

	private long nextOffset = NO_OFFSET;

	private boolean failing;

	private boolean readingNewest = true;

	private boolean readPending;

	private long timerNumber;

	/**
	 * Starts following a stream.
	 * @param store the store
	 * @param plan the timing of reads
	 * @param ticker schedules reads
	 * @param listener receives the records
	 * @param updateSender sends updates to the other daemons
	 */
	public KeyedFollower(KeyedStore store, FollowPlan plan, Ticker ticker, KeyedListener listener,
			Consumer<StreamUpdate> updateSender) {
		this.store = store;
		this.plan = plan;
		this.ticker = ticker;
		this.listener = listener;
		this.updateSender = updateSender;
		this.schedule = new ReadSchedule(plan, new Random(), System.nanoTime());
		HandlerTable<FollowEvent, Boolean> handlers = new HandlerTable<FollowEvent, Boolean>()
			.on(ReadDue.class, (event, now) -> event.timer() == this.timerNumber && readIfDue(now))
			.on(PageArrived.class, (event, now) -> onPage(event, now))
			.on(ReadFailed.class, (event, now) -> onReadFailed(event.failure(), now))
			.on(UpdateReceived.class, (event, now) -> onUpdate(event, now))
			.covering(FollowEvent.class);
		this.duty = new Duty<>("follow-" + plan.stream(), RING_SLOTS, System::nanoTime, handlers::handle);
		this.duty.offer(new ReadDue(this.timerNumber), Urgency.CONTROL);
	}

	/**
	 * Receives an update that another daemon read.
	 * @param senderHasPriority whether that daemon continues to read if both daemons read
	 * @param update the update
	 */
	public void receive(boolean senderHasPriority, StreamUpdate update) {
		this.duty.offer(new UpdateReceived(senderHasPriority, update), Urgency.STREAM);
	}

	private boolean readIfDue(long nowNanos) {
		if (this.readPending) {
			return false;
		}
		if (this.schedule.delayMillis(nowNanos) > 0) {
			scheduleRead(nowNanos);
			return false;
		}
		read(nowNanos);
		return true;
	}

	private void read(long nowNanos) {
		this.readPending = true;
		String afterKey = this.collected.isEmpty() ? "" : this.collected.get(this.collected.size() - 1).key();
		long fromOffset = this.nextOffset;
		// If the answer to a waiting read is lost, the read lasts until its time-out.
		// Therefore only the daemon that reads for all waits, and not while reads fail.
		long waitMillis = (this.schedule.isReader(nowNanos) && !this.failing) ? this.plan.waitMillis() : 0;
		CompletableFuture<KeyedPage> page = this.readingNewest ? this.store.newest(this.plan.stream(), afterKey)
				: this.store.changes(this.plan.stream(), fromOffset, waitMillis);
		page.whenComplete((read, failure) -> this.duty
			.offer((failure != null) ? new ReadFailed(failure) : new PageArrived(fromOffset, read), Urgency.CONTROL));
	}

	private boolean onPage(PageArrived event, long nowNanos) {
		this.readPending = false;
		clearFailure();
		KeyedPage page = event.page();
		if (page.trimmed()) {
			LOGGER.info("platform: stream {} has a gap; reading the newest record of each key", this.plan.stream());
			this.readingNewest = true;
			this.nextOffset = NO_OFFSET;
			read(nowNanos);
		}
		else if (this.readingNewest) {
			collectNewest(page, nowNanos);
		}
		else {
			applyChanges(event.fromOffset(), page, nowNanos);
		}
		return true;
	}

	private void collectNewest(KeyedPage page, long nowNanos) {
		this.collected.addAll(page.records());
		this.nextOffset = (this.nextOffset == NO_OFFSET) ? page.nextOffset() : this.nextOffset;
		if (page.more()) {
			read(nowNanos);
			return;
		}
		this.readingNewest = false;
		List<KeyedRecord> newest = List.copyOf(this.collected);
		notifyListener(() -> this.listener.onNewest(newest));
		this.collected.clear();
		this.schedule.readCompleted(nowNanos);
		scheduleRead(nowNanos);
	}

	private void applyChanges(long fromOffset, KeyedPage page, long nowNanos) {
		// The page may repeat records of updates that were received during the read;
		// applying them twice leads to the same state.
		if (page.nextOffset() >= this.nextOffset) {
			this.nextOffset = page.nextOffset();
			notifyListener(() -> {
				List<KeyedRecord> relevant = this.listener.selectRelevant(page.records());
				this.listener.onChanges(page.records());
				this.updateSender.accept(createUpdate(fromOffset, page, relevant));
			});
		}
		this.schedule.readCompleted(nowNanos);
		scheduleRead(nowNanos);
	}

	private StreamUpdate createUpdate(long fromOffset, KeyedPage page, List<KeyedRecord> relevant) {
		int bytes = 0;
		for (KeyedRecord record : relevant) {
			bytes += record.key().length() + record.value().map((value) -> value.length()).orElse(0);
		}
		boolean fits = bytes <= MAX_UPDATE_BYTES && page.records().size() == page.nextOffset() - fromOffset;
		return new StreamUpdate(this.plan.stream(), fits ? fromOffset : page.nextOffset(), page.nextOffset(),
				fits ? relevant : List.of());
	}

	private boolean onUpdate(UpdateReceived event, long nowNanos) {
		StreamUpdate update = event.update();
		if (this.readingNewest || update.nextOffset() < this.nextOffset) {
			return false;
		}
		this.schedule.updateReceived(event.senderHasPriority(), nowNanos);
		if (update.nextOffset() > this.nextOffset && update.fromOffset() != this.nextOffset) {
			this.schedule.makeDue(nowNanos);
			return readIfDue(nowNanos);
		}
		List<KeyedRecord> records = (update.nextOffset() > this.nextOffset) ? update.records() : List.of();
		this.nextOffset = update.nextOffset();
		notifyListener(() -> this.listener.onChanges(records));
		return true;
	}

	private boolean onReadFailed(Throwable failure, long nowNanos) {
		this.readPending = false;
		if (!this.failing) {
			this.failing = true;
			LOGGER.warn("platform: reading stream {} failed; continuing with the last state read: {}",
					this.plan.stream(), failure.getMessage());
		}
		notifyListener(this.listener::onReadFailed);
		this.schedule.readFailed(nowNanos);
		scheduleRead(nowNanos);
		return false;
	}

	/**
	 * Notifies the listener. If it fails, following continues, since otherwise one odd
	 * record would end it.
	 * @param notification the call of the listener
	 */
	private void notifyListener(Runnable notification) {
		try {
			notification.run();
		}
		catch (RuntimeException ex) {
			LOGGER.error("platform: records of stream {} could not be applied and are skipped; report the failure",
					this.plan.stream(), ex);
		}
	}

	private void clearFailure() {
		if (this.failing) {
			this.failing = false;
			LOGGER.info("platform: stream {} can be read again", this.plan.stream());
		}
	}

	private void scheduleRead(long nowNanos) {
		this.timerNumber++;
		ReadDue due = new ReadDue(this.timerNumber);
		this.ticker.after(this.schedule.delayMillis(nowNanos), () -> this.duty.offer(due, Urgency.CONTROL));
	}

	@Override
	public void close() {
		this.duty.close();
	}

}
