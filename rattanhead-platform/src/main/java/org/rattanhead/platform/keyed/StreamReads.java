package org.rattanhead.platform.keyed;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

import org.rattanhead.core.keyed.KeyedStream;

/**
 * The reads of a stream. Only the outcome of the last one counts; one that was abandoned
 * may still arrive.
 */
final class StreamReads {

	private static final Logger LOGGER = LogManager.getLogger(StreamReads.class);

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
	 * @param nowNanos the time on the monotonic clock
	 */
	void start(StreamProgress progress, long waitMillis, long nowNanos) {
		this.pending = true;
		this.lastNumber++;
		StreamRead read = new StreamRead(this.lastNumber, progress.position(), nowNanos);
		CompletableFuture<KeyedPage> page = progress.readingNewest()
				? this.store.newest(this.stream, progress.lastKey())
				: this.store.changes(this.stream, read.from(), waitMillis);
		page.whenComplete((arrived, failure) -> this.events
			.accept((failure != null) ? new ReadFailed(read, failure) : new PageArrived(read, arrived)));
	}

	/**
	 * Returns the number of the last read that was started.
	 * @return the number, 0 if none was
	 */
	long lastNumber() {
		return this.lastNumber;
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

	/**
	 * Logs what a read brought.
	 * @param read the read
	 * @param page the page
	 * @param nowNanos the time on the monotonic clock
	 */
	void log(StreamRead read, KeyedPage page, long nowNanos) {
		if (this.stream != KeyedStream.INSTANCES && !page.records().isEmpty()) {
			long bytes = page.records().stream().mapToLong(RecordBudget::size).sum();
			LOGGER.info("platform: a read of stream {} from {} brought {} records, {} bytes, after {} ms", this.stream,
					read.from(), page.records().size(), bytes,
					TimeUnit.NANOSECONDS.toMillis(nowNanos - read.startNanos()));
		}
	}

	void abandon() {
		this.pending = false;
	}

}
