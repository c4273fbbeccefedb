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
 * The duty that follows a stream: first the newest record of each key, then changes as
 * they come. After a gap it starts again with the newest records. Daemons tell each other
 * what they read, so that one of them reads for all.
 */
public final class KeyedFollower implements AutoCloseable {

	private static final Logger LOGGER = LogManager.getLogger(KeyedFollower.class);

	private static final int RING_SLOTS = 64;

	/**
	 * The most bytes of keys and values that are passed on to other daemons; a datagram
	 * carries them even if they do not compress.
	 */
	private static final int MAX_NEWS_BYTES = 32 * 1024;

	private static final long NO_OFFSET = -1;

	private final KeyedStore store;

	private final FollowPlan plan;

	private final KeyedListener listener;

	private final Ticker ticker;

	private final Consumer<StreamUpdate> others;

	private final ReadTurn turn;

	private final Duty<FollowEvent> duty;

	private final List<KeyedRecord> collected = new ArrayList<>();

	private long nextOffset = NO_OFFSET;

	private boolean lost;

	private boolean snapshot = true;

	private boolean reading;

	private long timer;

	/**
	 * Starts to follow a stream.
	 * @param store the store
	 * @param plan how to follow
	 * @param ticker waits between reads
	 * @param listener hears what is read
	 * @param others tells the other daemons what is read
	 */
	public KeyedFollower(KeyedStore store, FollowPlan plan, Ticker ticker, KeyedListener listener,
			Consumer<StreamUpdate> others) {
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
	 * Takes what another daemon read.
	 * @param prior whether that daemon goes on if both read
	 * @param news what it found
	 */
	public void tell(boolean prior, StreamUpdate news) {
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
		// A read that waits hangs on for long if its answer is lost. Only the reader for
		// all waits, and not before the store has answered again.
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
			LOGGER.info("platform: stream {} has a gap; reading the newest records", this.plan.stream());
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
		// What another daemon told meanwhile is among the records; applying them again
		// ends in the same state.
		if (page.nextOffset() >= this.nextOffset) {
			this.nextOffset = page.nextOffset();
			this.listener.onChanges(page.records());
			this.others.accept(news(fromOffset, page));
		}
		this.turn.completed(nowNanos);
		awaitTurn(nowNanos);
	}

	private StreamUpdate news(long fromOffset, KeyedPage page) {
		int bytes = 0;
		for (KeyedRecord record : page.records()) {
			bytes += record.key().length() + record.value().map((value) -> value.length()).orElse(0);
		}
		boolean small = bytes <= MAX_NEWS_BYTES && page.records().size() == page.nextOffset() - fromOffset;
		return new StreamUpdate(this.plan.stream(), small ? fromOffset : page.nextOffset(), page.nextOffset(),
				small ? page.records() : List.of());
	}

	private boolean heard(NewsHeard event, long nowNanos) {
		StreamUpdate news = event.news();
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
			LOGGER.warn("platform: stream {} cannot be read; going on with what is known: {}", this.plan.stream(),
					failure.getMessage());
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
