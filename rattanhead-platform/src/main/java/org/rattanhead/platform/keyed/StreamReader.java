package org.rattanhead.platform.keyed;

import java.util.List;
import java.util.Optional;
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

	private final StreamReads reads;

	private final Supplier<FollowPlan> plan;

	private final KeyedStream stream;

	private final ReadSchedule schedule;

	private final ReadTimer timer;

	private final HandlerTable<FollowEvent, Boolean> handlers;

	private final StreamProgress progress;

	private final StreamRecords records;

	private final SnapshotExchange snapshots;

	private final AnnouncedPosition announced = new AnnouncedPosition();

	private final SkippedChanges skipped;

	private final ReadHealth health;

	/** Whether the newest records are read because the store was restored. */
	private boolean restored;

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
		this.plan = plan;
		this.stream = plan.get().stream();
		this.reads = new StreamReads(store, this.stream, events);
		this.progress = new StreamProgress(this.stream, observer);
		this.records = new StreamRecords(this.stream, listener, peers);
		this.snapshots = new SnapshotExchange(this.stream, this.progress, this.records, schedule, peers, timer,
				() -> events.accept(new RequestDue()));
		this.skipped = new SkippedChanges(this.progress, this.records);
		this.health = new ReadHealth(this.stream);
		this.schedule = schedule;
		this.timer = new ReadTimer(schedule, timer, events);
		this.handlers = new HandlerTable<FollowEvent, Boolean>()
			.on(ReadDue.class, (event, now) -> this.timer.isLast(event) && readIfDue(now))
			.on(PageArrived.class, (event, now) -> this.reads.finish(event.read()) && onPage(event, now))
			.on(ReadFailed.class, (event, now) -> this.reads.finish(event.read()) && onReadFailed(event.failure(), now))
			.on(UpdateReceived.class, (event, now) -> onUpdate(event, now))
			.on(PeersKnown.class, (event, now) -> onPeersKnown(event.others(), now))
			.on(PeerContacted.class, (event, now) -> this.snapshots.requestFrom(event.host()))
			.on(RequestDue.class, (event, now) -> this.snapshots.requestUntilReceived(""))
			.on(SnapshotRequested.class, (event, now) -> this.snapshots.supply(event.host(), now))
			.on(SnapshotReceived.class, (event, now) -> onSnapshot(event.snapshot(), now))
			.on(EraNamed.class, (event, now) -> onEra(event, now))
			.covering(FollowEvent.class);
	}

	void handle(FollowEvent event, long nowNanos) {
		this.handlers.handle(event, nowNanos);
	}

	private boolean readIfDue(long nowNanos) {
		if (this.reads.isPending()) {
			return false;
		}
		if (this.schedule.delayMillis(nowNanos) > 0) {
			this.timer.start(nowNanos);
			return false;
		}
		read(nowNanos);
		return true;
	}

	private void read(long nowNanos) {
		this.skipped.skipIf(this.announced.countAfter(this.progress.position()) > 1);
		// If the answer to a waiting read is lost, the read lasts until its time-out.
		// Therefore only the daemon that reads for all waits, and not while reads fail.
		boolean waits = this.schedule.isReader(nowNanos) && !this.health.isFailing();
		this.reads.start(this.progress, waits ? this.plan.get().waitMillis() : 0, nowNanos);
	}

	private boolean onPage(PageArrived event, long nowNanos) {
		StreamPosition known = this.progress.position();
		KeyedPage page = event.page().withDefaultEra(known);
		if (known.isLaterEra(page.next())) {
			return onReadFailed(
					new RemedyException("The store answered with " + page.next() + " after era " + known.era(),
							"wait; the read is retried. If the failure persists, check the address of the store"),
					nowNanos);
		}
		this.health.succeeded();
		this.reads.log(event.read(), page, nowNanos);
		if (page.next().isLaterEra(known) && (this.skipped.isSkipping() || !this.progress.atFirstPage())) {
			beginEra(page.next().era());
			read(nowNanos);
		}
		else if (page.trimmed()) {
			LOGGER.info("platform: stream {} has a gap; reading the newest record of each key", this.stream);
			this.progress.restart();
			read(nowNanos);
		}
		else if (this.progress.readingNewest()) {
			collectNewest(page, nowNanos);
		}
		else {
			applyChanges(event.read(), page, nowNanos);
		}
		return true;
	}

	private boolean onEra(EraNamed event, long nowNanos) {
		StreamPosition known = this.progress.position();
		if (!known.withEra(event.era()).isLaterEra(known)) {
			return false;
		}
		boolean firstPage = this.progress.atFirstPage();
		beginEra(event.era());
		if (firstPage) {
			return false;
		}
		// Offsets of the earlier era mean something else now, so all is read anew.
		this.reads.abandon();
		if (event.host().isEmpty()) {
			read(nowNanos);
			return true;
		}
		this.schedule.awaitPeer(nowNanos);
		this.timer.start(nowNanos);
		return this.snapshots.requestUntilReceived(event.host());
	}

	private void beginEra(long era) {
		LOGGER.info("platform: the store is in era {}; reading the newest records of stream {}", era, this.stream);
		boolean hadRecords = !this.progress.readingNewest() || this.skipped.isSkipping();
		this.skipped.cancel();
		this.restored |= hadRecords;
		this.progress.restartIn(era);
		if (hadRecords) {
			this.records.restored();
		}
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
		if (this.skipped.isSkipping()) {
			this.schedule.readCompleted(nowNanos);
			this.skipped.finish(newest.get(), this.announced);
		}
		else {
			this.schedule.newestRead(nowNanos);
			this.records.replace(newest.get());
		}
		this.snapshots.supplyWaiting(nowNanos);
		if (this.restored) {
			this.restored = false;
			this.records.announce(this.progress.position());
		}
		this.schedule.makeDueIf(this.announced.takeMissing(this.progress.position()), nowNanos);
		this.timer.start(nowNanos);
	}

	private boolean onPeersKnown(boolean others, long nowNanos) {
		if (!this.progress.readingNewest() || this.reads.isPending()) {
			return false;
		}
		if (others) {
			return this.snapshots.requestUntilReceived("");
		}
		this.schedule.makeDue(nowNanos);
		return readIfDue(nowNanos);
	}

	private boolean onSnapshot(StreamUpdate snapshot, long nowNanos) {
		StreamPosition known = this.progress.position();
		boolean readingNewest = this.progress.readingNewest();
		boolean newer = snapshot.next().isLaterEra(known)
				|| (readingNewest ? snapshot.next().isSameEra(known) : snapshot.next().isAfter(known));
		if (!newer || (readingNewest && this.reads.isPending())) {
			return false;
		}
		if (snapshot.next().isLaterEra(known)) {
			beginEra(snapshot.next().era());
			this.reads.abandon();
		}
		this.restored = false;
		this.progress.continueAfter(snapshot.next());
		this.schedule.updateReceived(true, false, nowNanos);
		this.schedule.makeDueIf(this.announced.isAfter(snapshot.next()), nowNanos);
		this.records.replace(snapshot.records());
		this.snapshots.supplyWaiting(nowNanos);
		this.timer.start(nowNanos);
		return true;
	}

	private void applyChanges(StreamRead read, KeyedPage page, long nowNanos) {
		StreamPosition from = read.from();
		StreamPosition needed = this.progress.position();
		if (page.next().reaches(needed)) {
			KeyedPage rest = StreamUpdates.skip(page, from, needed);
			StreamPosition restFrom = StreamUpdates.isComplete(page, from) ? needed : from;
			this.progress.advance(page.next(), PositionSource.STORE);
			this.records.applyRead(restFrom, rest, this.announced.covers(needed, page.next()));
		}
		this.schedule.readCompleted(nowNanos);
		this.skipped.skipIf(page.more());
		this.schedule.makeDueIf(page.more() || this.announced.isMissing(read, this.progress.position()), nowNanos);
		this.timer.start(nowNanos);
	}

	private boolean onUpdate(UpdateReceived event, long nowNanos) {
		StreamUpdate update = event.update();
		if (onEra(new EraNamed(update.next().era(), event.host()), nowNanos)) {
			return true;
		}
		StreamPosition needed = this.progress.position();
		if (this.progress.readingNewest()) {
			this.announced.announce(update.next(), this.reads.lastNumber());
			return !this.skipped.isSkipping() && this.snapshots.requestFrom(event.host());
		}
		if (!update.next().reaches(needed)) {
			return false;
		}
		this.schedule.updateReceived(event.senderHasPriority(), this.announced.isAfter(update.next()), nowNanos);
		Optional<List<KeyedRecord>> changes = update.from().isAfter(needed) ? Optional.empty()
				: this.records.resolve(update, needed);
		if (changes.isEmpty()) {
			return readMissing(event, nowNanos);
		}
		this.progress.advance(update.next(), PositionSource.PEER);
		this.records.applyReceived(changes.orElseThrow());
		return true;
	}

	private boolean readMissing(UpdateReceived event, long nowNanos) {
		this.announced.announce(event.update().next(), this.reads.lastNumber());
		if (this.health.isFailing()) {
			this.snapshots.requestMissing(event.host());
		}
		this.schedule.makeDue(nowNanos);
		return readIfDue(nowNanos);
	}

	private boolean onReadFailed(Throwable failure, long nowNanos) {
		this.health.failed(failure);
		this.skipped.resume();
		this.records.readFailed();
		this.schedule.readFailed(nowNanos, !(failure instanceof StoreUnavailableException),
				this.announced.isAfter(this.progress.position()));
		this.timer.start(nowNanos);
		return false;
	}

}
