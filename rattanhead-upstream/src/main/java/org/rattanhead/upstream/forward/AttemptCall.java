package org.rattanhead.upstream.forward;

import java.util.concurrent.atomic.AtomicLong;

import org.rattanhead.client.OngoingCall;

/**
 * The call of one attempt. Grants and aborts take effect at once, on the thread that
 * gives them, or when the call starts if they come first. They do not use the ring of the
 * duty, since a grant that a full ring refuses leaves its answer stalled, and an abort
 * leaves the instance at work for a caller that has left. Safe for use by several
 * threads.
 */
final class AttemptCall {

	private final AtomicLong pendingBytes = new AtomicLong();

	private volatile boolean aborted;

	private volatile OngoingCall call;

	void started(OngoingCall startedCall) {
		this.call = startedCall;
		apply();
	}

	void grant(long bytes) {
		this.pendingBytes.addAndGet(bytes);
		apply();
	}

	void abort() {
		this.aborted = true;
		apply();
	}

	boolean aborted() {
		return this.aborted;
	}

	private void apply() {
		OngoingCall current = this.call;
		if (current == null) {
			return;
		}
		if (this.aborted) {
			current.abort();
			return;
		}
		long bytes = this.pendingBytes.getAndSet(0);
		if (bytes > 0) {
			current.grant(bytes);
		}
	}

}
