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

	private final FollowTimer timer;

	private final Consumer<FollowEvent> events;

	private final HandlerTable<FollowEvent, Boolean> handlers;

	private final StreamProgress progress;

	private final StreamRecords records;

	private final SnapshotExchange snapshots;

	private final AnnouncedPosition announced = new AnnouncedPosition();

	/** Where the records end that this daemon had when it skipped to the newest ones. */
	private Optional<StreamPosition> skippedFrom = Optional.empty();

	private boolean failing;

	/** Whether the newest records are read because the store was restored. */
	private boolean restored;

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
		this.plan = plan;
		this.stream = plan.get().stream();
		this.reads = new StreamReads(store, this.stream, events);
		this.progress = new StreamProgress(this.stream, observer);
		this.records = new StreamRecords(this.stream, listener, peers);
		this.snapshots = new SnapshotExchange(this.stream, this.progress, this.records, schedule, peers, timer,
				() -> events.accept(new RequestDue()));
		this.schedule = schedule;
		this.timer = timer;
		this.events = events;
		this.handlers = new HandlerTable<FollowEvent, Boolean>()
			.on(ReadDue.class, (event, now) -> event.timer() == this.timerNumber && readIfDue(now))
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
			scheduleRead(nowNanos);
			return false;
		}
		read(nowNanos);
		return true;
	}

	private void read(long nowNanos) {
		if (this.announced.countAfter(this.progress.position()) > 1) {
			skipToNewest();
		}
		// If the answer to a waiting read is lost, the read lasts until its time-out.
		// Therefore only the daemon that reads for all waits, and not while reads fail.
		boolean waits = this.schedule.isReader(nowNanos) && !this.failing;
		this.reads.start(this.progress, waits ? this.plan.get().waitMillis() : 0, nowNanos);
	}

	/**
	 * Lets the newest records be read in place of all changes, if these are large. What
	 * is superseded would delay the newest ones.
	 */
	private void skipToNewest() {
		if (!this.progress.readingNewest() && this.records.hasLarge()) {
			this.skippedFrom = Optional.of(this.progress.position());
			this.progress.restart();
		}
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
		clearFailure();
		this.reads.log(event.read(), page, nowNanos);
		if (page.next().isLaterEra(known) && !this.progress.atFirstPage()) {
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
		scheduleRead(nowNanos);
		return this.snapshots.requestUntilReceived(event.host());
	}

	private void beginEra(long era) {
		this.skippedFrom = Optional.empty();
		LOGGER.info("platform: the store is in era {}; reading the newest records of stream {}", era, this.stream);
		boolean hadRecords = !this.progress.readingNewest();
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
		if (this.skippedFrom.isPresent()) {
			this.schedule.readCompleted(nowNanos);
			this.records.replaceSkipped(this.skippedFrom.orElseThrow(), this.progress.position(), newest.get());
			this.skippedFrom = Optional.empty();
			this.snapshots.supplyWaiting(nowNanos);
		}
		else {
			this.schedule.newestRead(nowNanos);
			replaceAll(newest.get(), nowNanos);
		}
		if (this.restored) {
			this.restored = false;
			this.records.announce(this.progress.position());
		}
		makeDueIf(this.announced.isAfter(this.progress.position()), nowNanos);
		scheduleRead(nowNanos);
	}

	private void makeDueIf(boolean missing, long nowNanos) {
		if (missing) {
			this.schedule.makeDue(nowNanos);
		}
	}

	private void replaceAll(List<KeyedRecord> newest, long nowNanos) {
		this.records.replace(newest);
		this.snapshots.supplyWaiting(nowNanos);
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
		this.schedule.updateReceived(true, nowNanos);
		makeDueIf(this.announced.isAfter(snapshot.next()), nowNanos);
		replaceAll(snapshot.records(), nowNanos);
		scheduleRead(nowNanos);
		return true;
	}

	private void applyChanges(StreamRead read, KeyedPage page, long nowNanos) {
		StreamPosition from = read.from();
		StreamPosition needed = this.progress.position();
		if (page.next().reaches(needed)) {
			KeyedPage rest = StreamUpdates.skip(page, from, needed);
			StreamPosition restFrom = StreamUpdates.isComplete(page, from) ? needed : from;
			this.progress.advance(page.next(), PositionSource.STORE);
			this.records.applyRead(restFrom, rest);
		}
		this.schedule.readCompleted(nowNanos);
		if (page.more()) {
			skipToNewest();
		}
		makeDueIf(page.more() || this.announced.isMissing(read, this.progress.position()), nowNanos);
		scheduleRead(nowNanos);
	}

	private boolean onUpdate(UpdateReceived event, long nowNanos) {
		StreamUpdate update = event.update();
		if (onEra(new EraNamed(update.next().era(), event.host()), nowNanos)) {
			return true;
		}
		StreamPosition needed = this.progress.position();
		if (this.progress.readingNewest()) {
			this.announced.announce(update.next(), this.reads.lastNumber());
			return this.skippedFrom.isEmpty() && this.snapshots.requestFrom(event.host());
		}
		if (!update.next().reaches(needed)) {
			return false;
		}
		this.schedule.updateReceived(event.senderHasPriority(), nowNanos);
		if (update.from().isAfter(needed)) {
			return readMissing(event, nowNanos);
		}
		this.progress.advance(update.next(), PositionSource.PEER);
		this.records.applyReceived(StreamUpdates.selectNew(update, needed));
		return true;
	}

	private boolean readMissing(UpdateReceived event, long nowNanos) {
		this.announced.announce(event.update().next(), this.reads.lastNumber());
		if (this.failing) {
			this.snapshots.requestMissing(event.host());
		}
		this.schedule.makeDue(nowNanos);
		return readIfDue(nowNanos);
	}

	private boolean onReadFailed(Throwable failure, long nowNanos) {
		if (!this.failing) {
			this.failing = true;
			LOGGER.warn("platform: reading stream {} failed; continuing with the last state read: {}", this.stream,
					failure.getMessage());
		}
		this.skippedFrom.ifPresent(this.progress::resume);
		this.skippedFrom = Optional.empty();
		this.records.readFailed();
		this.schedule.readFailed(nowNanos, !(failure instanceof StoreUnavailableException),
				this.announced.isAfter(this.progress.position()));
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
