package org.rattanhead.client;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import org.rattanhead.core.Payload;

/**
 * Counts the parts and bytes of a reply.
 */
final class CountingObserver implements ReplyObserver {

	private final long windowBytes;

	private final AtomicLong parts = new AtomicLong();

	private final AtomicLong bytes = new AtomicLong();

	private final CompletableFuture<Void> started = new CompletableFuture<>();

	private final CompletableFuture<String> ended = new CompletableFuture<>();

	CountingObserver(long windowBytes) {
		this.windowBytes = windowBytes;
	}

	long parts() {
		return this.parts.get();
	}

	long bytes() {
		return this.bytes.get();
	}

	CompletableFuture<Void> started() {
		return this.started;
	}

	/**
	 * Returns how the call ended.
	 * @return "ended" or the failure
	 */
	CompletableFuture<String> ended() {
		return this.ended;
	}

	void await(long count, long timeoutMillis) throws InterruptedException {
		long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
		while (this.bytes.get() < count && System.nanoTime() < endNanos) {
			TimeUnit.MILLISECONDS.sleep(5);
		}
	}

	@Override
	public void onHead(HttpHead head) {
		// Only the body is counted.
	}

	@Override
	public boolean onBytes(Payload part) {
		this.parts.incrementAndGet();
		this.bytes.addAndGet(part.length());
		this.started.complete(null);
		return true;
	}

	@Override
	public long windowBytes() {
		return this.windowBytes;
	}

	@Override
	public void onEnd() {
		this.ended.complete("ended");
	}

	@Override
	public void onFailure(CallFailure failure, String detail) {
		this.ended.complete(failure.name());
	}

}
