package org.rattanhead.platform.keyed;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Supplier;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

import org.rattanhead.core.HandlerTable;
import org.rattanhead.core.keyed.KeyedRecord;
import org.rattanhead.core.keyed.KeyedStream;
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

	private static final long NO_OFFSET = -1;

	private final KeyedStore store;

	private final Supplier<FollowPlan> plan;

	private final KeyedStream stream;

	private final KeyedListener listener;

	private final StreamPeers peers;

	private final ListenerNotifications notifications;

	private final ReadSchedule schedule;

	private final FollowTimer timer;

	private final Consumer<FollowEvent> events;

	private final HandlerTable<FollowEvent, Boolean> handlers;

	private final CollectedPages collected = new CollectedPages(RecordBudget.ofHeap());

	private final NewestRecords newest;

	/** Hosts that requested a snapshot before this daemon had one. */
	private final Set<String> requesters = new LinkedHashSet<>();

	private long nextOffset = NO_OFFSET;

	private boolean failing;

	private boolean readingNewest = true;

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
	 * @param events receives the events that {@link #handle} has to be called with
	 */
	StreamReader(KeyedStore store, Supplier<FollowPlan> plan, ReadSchedule schedule, KeyedListener listener,
			StreamPeers peers, FollowTimer timer, Consumer<FollowEvent> events) {
		this.store = store;
		this.plan = plan;
		this.stream = plan.get().stream();
		this.newest = new NewestRecords(this.stream, RecordBudget.ofHeap());
		this.notifications = new ListenerNotifications(this.stream);
		this.schedule = schedule;
		this.listener = listener;
		this.peers = peers;
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
		long fromOffset = this.nextOffset;
		// If the answer to a waiting read is lost, the read lasts until its time-out.
		// Therefore only the daemon that reads for all waits, and not while reads fail.
		long waitMillis = (this.schedule.isReader(nowNanos) && !this.failing) ? this.plan.get().waitMillis() : 0;
		CompletableFuture<KeyedPage> page = this.readingNewest
				? this.store.newest(this.stream, this.collected.lastKey())
				: this.store.changes(this.stream, fromOffset, waitMillis);
		page.whenComplete((read, failure) -> this.events
			.accept((failure != null) ? new ReadFailed(failure) : new PageArrived(fromOffset, read)));
	}

	private boolean onPage(PageArrived event, long nowNanos) {
		this.readPending = false;
		clearFailure();
		KeyedPage page = event.page();
		if (page.trimmed()) {
			LOGGER.info("platform: stream {} has a gap; reading the newest record of each key", this.stream);
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
		try {
			this.collected.add(page);
		}
		catch (RemedyException ex) {
			this.nextOffset = NO_OFFSET;
			onReadFailed(ex, nowNanos);
			return;
		}
		this.nextOffset = (this.nextOffset == NO_OFFSET) ? page.nextOffset() : this.nextOffset;
		if (page.more()) {
			read(nowNanos);
			return;
		}
		this.readingNewest = false;
		this.schedule.newestRead(nowNanos);
		replaceAll(this.collected.take(), nowNanos);
		scheduleRead(nowNanos);
	}

	private void replaceAll(List<KeyedRecord> records, long nowNanos) {
		List<KeyedRecord> kept = this.newest.replace(records);
		this.notifications.run(() -> this.listener.onNewest(kept));
		List<String> hosts = List.copyOf(this.requesters);
		this.requesters.clear();
		hosts.forEach((host) -> onSnapshotRequested(host, nowNanos));
	}

	private boolean onPeersKnown(boolean others, long nowNanos) {
		if (!this.readingNewest || this.readPending) {
			return false;
		}
		if (others) {
			return requestSnapshot();
		}
		this.schedule.makeDue(nowNanos);
		return readIfDue(nowNanos);
	}

	private boolean onPeerContacted(String host) {
		if (this.readingNewest) {
			this.peers.requestSnapshot(this.stream, host);
		}
		return this.readingNewest;
	}

	private boolean requestSnapshot() {
		if (!this.readingNewest) {
			return false;
		}
		this.peers.requestSnapshot(this.stream, "");
		this.timer.after(REQUEST_MILLIS, () -> this.events.accept(new RequestDue()));
		return true;
	}

	private boolean onSnapshotRequested(String host, long nowNanos) {
		if (this.readingNewest) {
			this.requesters.add(host);
			return false;
		}
		List<KeyedRecord> records = this.newest.all();
		if (!this.schedule.isCurrent(nowNanos) || !NewestRecords.fitMessage(records)) {
			return false;
		}
		this.peers.sendSnapshot(host, new StreamUpdate(this.stream, this.nextOffset, this.nextOffset, records));
		return true;
	}

	private boolean onSnapshot(StreamUpdate snapshot, long nowNanos) {
		boolean older = !this.readingNewest && snapshot.nextOffset() <= this.nextOffset;
		if (older || (this.readingNewest && this.readPending)) {
			return false;
		}
		this.readingNewest = false;
		this.collected.clear();
		this.nextOffset = snapshot.nextOffset();
		this.schedule.updateReceived(true, nowNanos);
		replaceAll(snapshot.records(), nowNanos);
		scheduleRead(nowNanos);
		return true;
	}

	private void applyChanges(long fromOffset, KeyedPage page, long nowNanos) {
		if (page.nextOffset() >= this.nextOffset) {
			KeyedPage rest = StreamUpdates.skip(page, fromOffset, this.nextOffset);
			long restOffset = StreamUpdates.isComplete(page, fromOffset) ? this.nextOffset : fromOffset;
			this.nextOffset = page.nextOffset();
			List<KeyedRecord> applied = this.newest.apply(rest.records());
			this.notifications.run(() -> {
				List<KeyedRecord> relevant = this.listener.selectRelevant(applied);
				this.listener.onChanges(applied);
				this.peers.sendUpdate(StreamUpdates.create(this.stream, restOffset, rest, relevant));
			});
		}
		this.schedule.readCompleted(nowNanos);
		scheduleRead(nowNanos);
	}

	private boolean onUpdate(UpdateReceived event, long nowNanos) {
		StreamUpdate update = event.update();
		if (onPeerContacted(event.host())) {
			return false;
		}
		if (update.nextOffset() < this.nextOffset) {
			return false;
		}
		this.schedule.updateReceived(event.senderHasPriority(), nowNanos);
		if (update.nextOffset() > this.nextOffset && update.fromOffset() > this.nextOffset) {
			if (this.failing) {
				this.peers.requestSnapshot(this.stream, event.host());
			}
			this.schedule.makeDue(nowNanos);
			return readIfDue(nowNanos);
		}
		List<KeyedRecord> records = this.newest.apply(StreamUpdates.selectNew(update, this.nextOffset));
		this.nextOffset = update.nextOffset();
		this.notifications.run(() -> this.listener.onChanges(records));
		return true;
	}

	private boolean onReadFailed(Throwable failure, long nowNanos) {
		this.readPending = false;
		if (!this.failing) {
			this.failing = true;
			LOGGER.warn("platform: reading stream {} failed; continuing with the last state read: {}", this.stream,
					failure.getMessage());
		}
		this.notifications.run(this.listener::onReadFailed);
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
