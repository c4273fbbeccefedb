package org.rattanhead.platform.keyed;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Supplier;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

import org.rattanhead.core.HandlerTable;
import org.rattanhead.core.keyed.KeyedRecord;
import org.rattanhead.core.keyed.KeyedStream;
import org.rattanhead.core.keyed.StreamPosition;
import org.rattanhead.core.keyed.StreamUpdate;
import org.rattanhead.core.problem.RemedyException;

/**
 * Follows a stream: reads the newest record of each key, then the changes. After a gap it
 * reads the newest records again. Daemons send each other the records that they read, so
 * that one of them reads for all. Used by one thread; reads and timers report back
 * through events.
 */
final class StreamReader {

	private static final Logger LOGGER = LogManager.getLogger(StreamReader.class);

	/** The pause between two requests for a snapshot. */
	private static final long REQUEST_MILLIS = 200;

	private final KeyedStore store;

	private final Supplier<FollowPlan> plan;

	private final KeyedStream stream;

	private final ReadSchedule schedule;

	private final FollowTimer timer;

	private final Consumer<FollowEvent> events;

	private final HandlerTable<FollowEvent, Boolean> handlers;

	private final StreamProgress progress;

	private final StreamRecords records;

	private final SnapshotExchange snapshots;

	private boolean failing;

	private boolean readPending;

	private long timerNumber;

	/**
	 * Creates a reader, which starts with the first {@link ReadDue} event.
	 * @param store the store
	 * @param plan the timing of reads
	 * @param schedule decides when to read
	 * @param listener receives the records
	 * @param peers sends messages to the other daemons
	 * @param timer delivers timer events
	 * @param observer observes the position
	 * @param events receives the events that {@link #handle} has to be called with
	 */
	StreamReader(KeyedStore store, Supplier<FollowPlan> plan, ReadSchedule schedule, KeyedListener listener,
			StreamPeers peers, PositionObserver observer, FollowTimer timer, Consumer<FollowEvent> events) {
		this.store = store;
		this.plan = plan;
		this.stream = plan.get().stream();
		this.progress = new StreamProgress(this.stream, observer);
		this.records = new StreamRecords(this.stream, listener, peers);
		this.snapshots = new SnapshotExchange(this.stream, peers);
		this.schedule = schedule;
		this.timer = timer;
		this.events = events;
		this.handlers = new HandlerTable<FollowEvent, Boolean>()
			.on(ReadDue.class, (event, now) -> event.timer() == this.timerNumber && readIfDue(now))
			.on(PageArrived.class, (event, now) -> onPage(event, now))
			.on(ReadFailed.class, (event, now) -> onReadFailed(event.failure(), now))
			.on(UpdateReceived.class, (event, now) -> onUpdate(event, now))
			.on(PeersKnown.class, (event, now) -> onPeersKnown(event.others(), now))
			.on(PeerContacted.class, (event, now) -> onPeerContacted(event.host()))
			.on(RequestDue.class, (event, now) -> requestSnapshot())
			.on(SnapshotRequested.class, (event, now) -> onSnapshotRequested(event.host(), now))
			.on(SnapshotReceived.class, (event, now) -> onSnapshot(event.snapshot(), now))
			.covering(FollowEvent.class);
	}

	void handle(FollowEvent event, long nowNanos) {
		this.handlers.handle(event, nowNanos);
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
		StreamPosition from = this.progress.position();
		// If the answer to a waiting read is lost, the read lasts until its time-out.
		// Therefore only the daemon that reads for all waits, and not while reads fail.
		long waitMillis = (this.schedule.isReader(nowNanos) && !this.failing) ? this.plan.get().waitMillis() : 0;
		CompletableFuture<KeyedPage> page = this.progress.readingNewest()
				? this.store.newest(this.stream, this.progress.lastKey())
				: this.store.changes(this.stream, from, waitMillis);
		page.whenComplete((read, failure) -> this.events
			.accept((failure != null) ? new ReadFailed(failure) : new PageArrived(from, read)));
	}

	private boolean onPage(PageArrived event, long nowNanos) {
		this.readPending = false;
		clearFailure();
		KeyedPage page = event.page();
		if (page.trimmed()) {
			LOGGER.info("platform: stream {} has a gap; reading the newest record of each key", this.stream);
			this.progress.restart();
			read(nowNanos);
		}
		else if (this.progress.readingNewest()) {
			collectNewest(page, nowNanos);
		}
		else {
			applyChanges(event.from(), page, nowNanos);
		}
		return true;
	}

	private void collectNewest(KeyedPage page, long nowNanos) {
		Optional<List<KeyedRecord>> newest;
		try {
			newest = this.progress.collect(page);
		}
		catch (RemedyException ex) {
			onReadFailed(ex, nowNanos);
			return;
		}
		if (newest.isEmpty()) {
			read(nowNanos);
			return;
		}
		this.schedule.newestRead(nowNanos);
		replaceAll(newest.get(), nowNanos);
		scheduleRead(nowNanos);
	}

	private void replaceAll(List<KeyedRecord> newest, long nowNanos) {
		this.records.replace(newest);
		this.snapshots.takeWaiting().forEach((host) -> onSnapshotRequested(host, nowNanos));
	}

	private boolean onPeersKnown(boolean others, long nowNanos) {
		if (!this.progress.readingNewest() || this.readPending) {
			return false;
		}
		if (others) {
			return requestSnapshot();
		}
		this.schedule.makeDue(nowNanos);
		return readIfDue(nowNanos);
	}

	private boolean onPeerContacted(String host) {
		if (this.progress.readingNewest()) {
			this.snapshots.request(host);
		}
		return this.progress.readingNewest();
	}

	private boolean requestSnapshot() {
		if (!this.progress.readingNewest()) {
			return false;
		}
		this.snapshots.request("");
		this.timer.after(REQUEST_MILLIS, () -> this.events.accept(new RequestDue()));
		return true;
	}

	private boolean onSnapshotRequested(String host, long nowNanos) {
		if (this.progress.readingNewest()) {
			this.snapshots.postpone(host);
			return false;
		}
		StreamPosition next = this.progress.position();
		return this.schedule.isCurrent(nowNanos)
				&& this.snapshots.supply(host, new StreamUpdate(this.stream, next, next, this.records.all()));
	}

	private boolean onSnapshot(StreamUpdate snapshot, long nowNanos) {
		boolean readingNewest = this.progress.readingNewest();
		boolean older = !readingNewest && snapshot.next().offset() <= this.progress.position().offset();
		if (older || (readingNewest && this.readPending)) {
			return false;
		}
		this.progress.continueAfter(snapshot.next());
		this.schedule.updateReceived(true, nowNanos);
		replaceAll(snapshot.records(), nowNanos);
		scheduleRead(nowNanos);
		return true;
	}

	private void applyChanges(StreamPosition from, KeyedPage page, long nowNanos) {
		StreamPosition needed = this.progress.position();
		if (page.next().offset() >= needed.offset()) {
			KeyedPage rest = StreamUpdates.skip(page, from, needed);
			StreamPosition restFrom = StreamUpdates.isComplete(page, from) ? needed : from;
			this.progress.advance(page.next(), PositionSource.STORE);
			this.records.applyRead(restFrom, rest);
		}
		this.schedule.readCompleted(nowNanos);
		scheduleRead(nowNanos);
	}

	private boolean onUpdate(UpdateReceived event, long nowNanos) {
		StreamUpdate update = event.update();
		StreamPosition needed = this.progress.position();
		if (onPeerContacted(event.host()) || update.next().offset() < needed.offset()) {
			return false;
		}
		this.schedule.updateReceived(event.senderHasPriority(), nowNanos);
		if (update.next().offset() > needed.offset() && update.from().offset() > needed.offset()) {
			if (this.failing) {
				this.snapshots.request(event.host());
			}
			this.schedule.makeDue(nowNanos);
			return readIfDue(nowNanos);
		}
		this.progress.advance(update.next(), PositionSource.PEER);
		this.records.applyReceived(StreamUpdates.selectNew(update, needed));
		return true;
	}

	private boolean onReadFailed(Throwable failure, long nowNanos) {
		this.readPending = false;
		if (!this.failing) {
			this.failing = true;
			LOGGER.warn("platform: reading stream {} failed; continuing with the last state read: {}", this.stream,
					failure.getMessage());
		}
		this.records.readFailed();
		this.schedule.readFailed(nowNanos, !(failure instanceof StoreUnavailableException));
		scheduleRead(nowNanos);
		return false;
	}

	private void clearFailure() {
		if (this.failing) {
			this.failing = false;
			LOGGER.info("platform: stream {} can be read again", this.stream);
		}
	}

	private void scheduleRead(long nowNanos) {
		this.timerNumber++;
		ReadDue due = new ReadDue(this.timerNumber);
		this.timer.after(this.schedule.delayMillis(nowNanos), () -> this.events.accept(due));
	}

}
