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
import org.rattanhead.core.keyed.StreamNews;
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
	private static final int MAX_NEWS_BYTES = 32 * 1024;

	private static final long NO_OFFSET = -1;

	private final KeyedStore store;

	private final FollowPlan plan;

	private final KeyedListener listener;

	private final Ticker ticker;

	private final Consumer<StreamNews> others;

	private final ReadTurn turn;

	private final Duty<FollowEvent> duty;

	private final List<KeyedRecord> collected = new ArrayList<>();

	private long nextOffset = NO_OFFSET;

	private boolean lost;

	private boolean snapshot = true;

	private boolean reading;

	private long timer;

	/**
	 * Starts following a stream.
	 * @param store the store
	 * @param plan the timing of reads
	 * @param ticker schedules reads
	 * @param listener receives the records
	 * @param others sends updates to the other daemons
	 */
	public KeyedFollower(KeyedStore store, FollowPlan plan, Ticker ticker, KeyedListener listener,
			Consumer<StreamNews> others) {
		this.store = store;
		this.plan = plan;
		this.ticker = ticker;
		this.listener = listener;
		this.others = others;
		this.turn = new ReadTurn(plan, new Random(), System.nanoTime());
		HandlerTable<FollowEvent, Boolean> handlers = new HandlerTable<FollowEvent, Boolean>()
			.on(ReadDue.class, (event, now) -> event.timer() == this.timer && due(now))
			.on(PageArrived.class, (event, now) -> arrived(event, now))
			.on(ReadFailed.class, (event, now) -> failed(event.failure(), now))
			.on(NewsHeard.class, (event, now) -> heard(event, now))
			.covering(FollowEvent.class);
		this.duty = new Duty<>("follow-" + plan.stream(), RING_SLOTS, System::nanoTime, handlers::handle);
		this.duty.offer(new ReadDue(this.timer), Urgency.CONTROL);
	}

	/**
	 * Receives an update that another daemon read.
	 * @param prior whether that daemon continues to read if both daemons read
	 * @param news the update
	 */
	public void tell(boolean prior, StreamNews news) {
		this.duty.offer(new NewsHeard(prior, news), Urgency.STREAM);
	}

	private boolean due(long nowNanos) {
		if (this.reading) {
			return false;
		}
		if (this.turn.waitMillis(nowNanos) > 0) {
			awaitTurn(nowNanos);
			return false;
		}
		read(nowNanos);
		return true;
	}

	private void read(long nowNanos) {
		this.reading = true;
		String afterKey = this.collected.isEmpty() ? "" : this.collected.get(this.collected.size() - 1).key();
		long fromOffset = this.nextOffset;
		// If the answer to a waiting read is lost, the read lasts until its time-out.
		// Therefore only the daemon that reads for all waits, and not while reads fail.
		long waitMillis = (this.turn.reader(nowNanos) && !this.lost) ? this.plan.waitMillis() : 0;
		CompletableFuture<KeyedPage> page = this.snapshot ? this.store.newest(this.plan.stream(), afterKey)
				: this.store.changes(this.plan.stream(), fromOffset, waitMillis);
		page.whenComplete((found, failure) -> this.duty
			.offer((failure != null) ? new ReadFailed(failure) : new PageArrived(fromOffset, found), Urgency.CONTROL));
	}

	private boolean arrived(PageArrived event, long nowNanos) {
		this.reading = false;
		found();
		KeyedPage page = event.page();
		if (page.trimmed()) {
			LOGGER.info("platform: stream {} has a gap; reading the newest record of each key", this.plan.stream());
			this.snapshot = true;
			this.nextOffset = NO_OFFSET;
			read(nowNanos);
		}
		else if (this.snapshot) {
			collect(page, nowNanos);
		}
		else {
			changed(event.fromOffset(), page, nowNanos);
		}
		return true;
	}

	private void collect(KeyedPage page, long nowNanos) {
		this.collected.addAll(page.records());
		this.nextOffset = (this.nextOffset == NO_OFFSET) ? page.nextOffset() : this.nextOffset;
		if (page.more()) {
			read(nowNanos);
			return;
		}
		this.snapshot = false;
		this.listener.onNewest(List.copyOf(this.collected));
		this.collected.clear();
		this.turn.completed(nowNanos);
		awaitTurn(nowNanos);
	}

	private void changed(long fromOffset, KeyedPage page, long nowNanos) {
		// The page repeats records of updates received during the read; applying them
		// twice leads to the same state.
		if (page.nextOffset() >= this.nextOffset) {
			this.nextOffset = page.nextOffset();
			this.listener.onChanges(page.records());
			this.others.accept(news(fromOffset, page));
		}
		this.turn.completed(nowNanos);
		awaitTurn(nowNanos);
	}

	private StreamNews news(long fromOffset, KeyedPage page) {
		int bytes = 0;
		for (KeyedRecord record : page.records()) {
			bytes += record.key().length() + record.value().map((value) -> value.length()).orElse(0);
		}
		boolean small = bytes <= MAX_NEWS_BYTES && page.records().size() == page.nextOffset() - fromOffset;
		return new StreamNews(this.plan.stream(), small ? fromOffset : page.nextOffset(), page.nextOffset(),
				small ? page.records() : List.of());
	}

	private boolean heard(NewsHeard event, long nowNanos) {
		StreamNews news = event.news();
		if (this.snapshot || news.nextOffset() < this.nextOffset) {
			return false;
		}
		this.turn.heard(event.prior(), nowNanos);
		if (news.nextOffset() > this.nextOffset && news.fromOffset() != this.nextOffset) {
			this.turn.due(nowNanos);
			return due(nowNanos);
		}
		this.listener.onChanges((news.nextOffset() > this.nextOffset) ? news.records() : List.of());
		this.nextOffset = news.nextOffset();
		return true;
	}

	private boolean failed(Throwable failure, long nowNanos) {
		this.reading = false;
		if (!this.lost) {
			this.lost = true;
			LOGGER.warn("platform: reading stream {} failed; continuing with the last state read: {}",
					this.plan.stream(), failure.getMessage());
		}
		this.listener.onLost();
		this.turn.failed(nowNanos);
		awaitTurn(nowNanos);
		return false;
	}

	private void found() {
		if (this.lost) {
			this.lost = false;
			LOGGER.info("platform: stream {} can be read again", this.plan.stream());
		}
	}

	private void awaitTurn(long nowNanos) {
		this.timer++;
		ReadDue due = new ReadDue(this.timer);
		this.ticker.after(this.turn.waitMillis(nowNanos), () -> this.duty.offer(due, Urgency.CONTROL));
	}

	@Override
	public void close() {
		this.duty.close();
	}

}
