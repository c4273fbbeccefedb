package org.rattanhead.platform.keyed;

import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

import org.rattanhead.core.keyed.KeyedStream;

/**
 * The reads of a stream. Only the outcome of the last one counts; one that was abandoned
 * may still arrive.
 */
final class StreamReads {

	private final KeyedStore store;

	private final KeyedStream stream;

	private final Consumer<FollowEvent> events;

	private boolean pending;

	private long lastNumber;

	StreamReads(KeyedStore store, KeyedStream stream, Consumer<FollowEvent> events) {
		this.store = store;
		this.stream = stream;
		this.events = events;
	}

	/**
	 * Reads the next page. An earlier read is abandoned.
	 * @param progress how far the stream was read
	 * @param waitMillis how long the store may wait for a new record, in milliseconds
	 */
	void start(StreamProgress progress, long waitMillis) {
		this.pending = true;
		this.lastNumber++;
		StreamRead read = new StreamRead(this.lastNumber, progress.position());
		CompletableFuture<KeyedPage> page = progress.readingNewest()
				? this.store.newest(this.stream, progress.lastKey())
				: this.store.changes(this.stream, read.from(), waitMillis);
		page.whenComplete((arrived, failure) -> this.events
			.accept((failure != null) ? new ReadFailed(read, failure) : new PageArrived(read, arrived)));
	}

	boolean isPending() {
		return this.pending;
	}

	/**
	 * Ends a read whose outcome has arrived.
	 * @param read the read
	 * @return false if it was abandoned
	 */
	boolean finish(StreamRead read) {
		boolean last = this.pending && read.number() == this.lastNumber;
		this.pending &= !last;
		return last;
	}

	void abandon() {
		this.pending = false;
	}

}
