package org.rattanhead.bench;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.IntFunction;

import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

import org.rattanhead.client.HttpCall;
import org.rattanhead.client.HttpClient;

/**
 * Sends a number of calls, with a fixed number in flight.
 */
final class ClosedLoop {

	private static final int SIGNIFICANT_DIGITS = 3;

	private final HttpClient caller;

	private final IntFunction<HttpCall> calls;

	private final AtomicInteger remaining;

	private final CountDownLatch pendingCalls;

	private final Histogram latencyNanos = new ConcurrentHistogram(SIGNIFICANT_DIGITS);

	private final AtomicInteger failed = new AtomicInteger();

	private ClosedLoop(HttpClient caller, IntFunction<HttpCall> calls, int requests) {
		this.caller = caller;
		this.calls = calls;
		this.remaining = new AtomicInteger(requests);
		this.pendingCalls = new CountDownLatch(requests);
	}

	static LoopResult run(HttpClient caller, IntFunction<HttpCall> calls, int requests, int inFlight)
			throws InterruptedException {
		ClosedLoop loop = new ClosedLoop(caller, calls, requests);
		long startNanos = System.nanoTime();
		for (int index = 0; index < inFlight; index++) {
			loop.sendNext();
		}
		loop.pendingCalls.await();
		return new LoopResult(requests, System.nanoTime() - startNanos, loop.latencyNanos, loop.failed.get());
	}

	private void sendNext() {
		int number = this.remaining.getAndDecrement();
		if (number <= 0) {
			return;
		}
		long startNanos = System.nanoTime();
		this.caller.start(this.calls.apply(number), new LoopObserver((fault) -> onCallEnded(startNanos, fault)));
	}

	private void onCallEnded(long startNanos, String fault) {
		this.latencyNanos.recordValue(System.nanoTime() - startNanos);
		if (!fault.isEmpty()) {
			this.failed.incrementAndGet();
		}
		this.pendingCalls.countDown();
		sendNext();
	}

}
