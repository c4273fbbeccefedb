package org.rattanhead.http.internal;

import java.util.concurrent.TimeUnit;
import java.util.function.LongPredicate;

import org.xnio.XnioIoThread;

import org.rattanhead.decision.forward.ReplyWritten;

/**
 * Adds up the bytes written to one caller and reports them. A report that is refused is
 * repeated, since the decisions wait for it before they read on. Confined to the I/O
 * thread of the connection.
 */
final class WrittenBytes {

	private static final long REPEAT_INTERVAL_MILLIS = 5;

	private final XnioIoThread ioThread;

	private final LongPredicate report;

	private long unreportedBytes;

	private boolean repeating;

	WrittenBytes(XnioIoThread ioThread, LongPredicate report) {
		this.ioThread = ioThread;
		this.report = report;
	}

	void add(int bytes) {
		this.unreportedBytes += bytes;
		if (!this.repeating) {
			reportIfDue();
		}
	}

	private void reportIfDue() {
		if (this.unreportedBytes < ReplyWritten.MIN_REPORT_BYTES) {
			return;
		}
		if (this.report.test(this.unreportedBytes)) {
			this.unreportedBytes = 0;
			return;
		}
		this.repeating = true;
		this.ioThread.executeAfter(() -> {
			this.repeating = false;
			reportIfDue();
		}, REPEAT_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
	}

}
