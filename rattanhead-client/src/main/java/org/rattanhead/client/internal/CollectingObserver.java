package org.rattanhead.client.internal;

import java.io.ByteArrayOutputStream;
import java.util.concurrent.CompletableFuture;

import org.rattanhead.client.CallFailedException;
import org.rattanhead.client.CallFailure;
import org.rattanhead.client.HttpHead;
import org.rattanhead.client.HttpReply;
import org.rattanhead.client.ReplyObserver;
import org.rattanhead.core.Payload;

/**
 * Collects a reply and completes a future with it.
 */
public final class CollectingObserver implements ReplyObserver {

	private final CompletableFuture<HttpReply> future;

	private final long maxBodyBytes;

	private final ByteArrayOutputStream body = new ByteArrayOutputStream();

	private HttpHead head;

	/**
	 * Creates an observer.
	 * @param future the future to complete
	 * @param maxBodyBytes the size above which the call fails
	 */
	public CollectingObserver(CompletableFuture<HttpReply> future, long maxBodyBytes) {
		this.future = future;
		this.maxBodyBytes = maxBodyBytes;
	}

	@Override
	public void onHead(HttpHead newHead) {
		this.head = newHead;
	}

	@Override
	public boolean onBytes(Payload bytes) {
		this.body.writeBytes(bytes.bytes());
		return true;
	}

	@Override
	public long maxBodyBytes() {
		return this.maxBodyBytes;
	}

	@Override
	public void onEnd() {
		this.future.complete(new HttpReply(this.head, new Payload(this.body.toByteArray())));
	}

	@Override
	public void onFailure(CallFailure failure, String detail) {
		this.future.completeExceptionally(new CallFailedException(failure, detail));
	}

}
