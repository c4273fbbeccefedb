package org.rattanhead.platform.keyed;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

import org.rattanhead.ring.Duty;
import org.rattanhead.ring.Ticker;
import org.rattanhead.ring.Urgency;

/**
 * The duty that follows a stream: first the newest record of each key, then changes as
 * they come. After a gap it starts again with the newest records.
 */
public final class KeyedFollower implements AutoCloseable {

	private static final Logger LOGGER = LogManager.getLogger(KeyedFollower.class);

	private static final int RING_SLOTS = 64;

	/** The pause after a failed read, so that a store in trouble is not pressed. */
	private static final long RETRY_MILLIS = 300;

	private static final long NO_OFFSET = -1;

	private final KeyedStore store;

	private final FollowPlan plan;

	private final KeyedListener listener;

	private final Ticker ticker;

	private final Duty<FollowEvent> duty;

	private final List<KeyedRecord> collected = new ArrayList<>();

	private long nextOffset = NO_OFFSET;

	private boolean lost;

	private boolean snapshot = true;

	/**
	 * Starts to follow a stream.
	 * @param store the store
	 * @param plan how to follow
	 * @param ticker waits between reads
	 * @param listener hears what is read
	 */
	public KeyedFollower(KeyedStore store, FollowPlan plan, Ticker ticker, KeyedListener listener) {
		this.store = store;
		this.plan = plan;
		this.ticker = ticker;
		this.listener = listener;
		this.duty = new Duty<>("follow-" + plan.stream(), RING_SLOTS, System::nanoTime, this::handle);
		this.duty.offer(new FollowEvent(null, null), Urgency.CONTROL);
	}

	private void handle(FollowEvent event, long nowNanos) {
		if (event.failure() != null) {
			failed(event.failure());
		}
		else if (event.page() == null) {
			read();
		}
		else {
			arrived(event.page());
		}
	}

	private void read() {
		// A read that waits would hang on long after the store is back, if its answer is
		// lost.
		String afterKey = this.collected.isEmpty() ? "" : this.collected.get(this.collected.size() - 1).key();
		CompletableFuture<KeyedPage> page = this.snapshot ? this.store.newest(this.plan.stream(), afterKey)
				: this.store.changes(this.plan.stream(), this.nextOffset, this.lost ? 0 : this.plan.waitMillis());
		page.whenComplete((found, failure) -> this.duty.offer(new FollowEvent(found, failure), Urgency.CONTROL));
	}

	private void arrived(KeyedPage page) {
		if (this.lost) {
			this.lost = false;
			LOGGER.info("platform: stream {} can be read again", this.plan.stream());
		}
		if (page.trimmed()) {
			LOGGER.info("platform: stream {} has a gap; reading the newest records", this.plan.stream());
			this.snapshot = true;
			this.nextOffset = NO_OFFSET;
			readAfter(0);
		}
		else if (this.snapshot) {
			collect(page);
		}
		else {
			this.nextOffset = page.nextOffset();
			this.listener.onChanges(page.records());
			readAfter(this.plan.periodMillis());
		}
	}

	private void collect(KeyedPage page) {
		this.collected.addAll(page.records());
		this.nextOffset = (this.nextOffset == NO_OFFSET) ? page.nextOffset() : this.nextOffset;
		if (page.more()) {
			readAfter(0);
			return;
		}
		this.snapshot = false;
		this.listener.onNewest(List.copyOf(this.collected));
		this.collected.clear();
		readAfter(this.plan.periodMillis());
	}

	private void failed(Throwable failure) {
		if (!this.lost) {
			this.lost = true;
			LOGGER.warn("platform: stream {} cannot be read; going on with what is known: {}", this.plan.stream(),
					failure.getMessage());
		}
		this.listener.onLost();
		readAfter(RETRY_MILLIS);
	}

	private void readAfter(long millis) {
		if (millis > 0) {
			this.ticker.after(millis, () -> this.duty.offer(new FollowEvent(null, null), Urgency.CONTROL));
		}
		else {
			read();
		}
	}

	@Override
	public void close() {
		this.duty.close();
	}

}
