package org.rattanhead.bench;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.IntFunction;

import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

import org.rattanhead.client.HttpCall;
import org.rattanhead.client.HttpClient;

/**
 * Sends calls over and over, with a fixed number in flight.
 */
final class ClosedLoop {

	private static final int DIGITS = 3;

	private final HttpClient caller;

	private final IntFunction<HttpCall> calls;

	private final AtomicInteger left;

	private final CountDownLatch ended;

	private final Histogram totalNanos = new ConcurrentHistogram(DIGITS);

	private final AtomicInteger failed = new AtomicInteger();

	private ClosedLoop(HttpClient caller, IntFunction<HttpCall> calls, int requests) {
		this.caller = caller;
		this.calls = calls;
		this.left = new AtomicInteger(requests);
		this.ended = new CountDownLatch(requests);
	}

	static LoopResult run(HttpClient caller, IntFunction<HttpCall> calls, int requests, int inFlight)
			throws InterruptedException {
		ClosedLoop loop = new ClosedLoop(caller, calls, requests);
		long startNanos = System.nanoTime();
		for (int index = 0; index < inFlight; index++) {
			loop.sendNext();
		}
		loop.ended.await();
		return new LoopResult(requests, System.nanoTime() - startNanos, loop.totalNanos, loop.failed.get());
	}

	private void sendNext() {
		int number = this.left.getAndDecrement();
		if (number <= 0) {
			return;
		}
		long startNanos = System.nanoTime();
		this.caller.start(this.calls.apply(number), new LoopObserver((fault) -> ended(startNanos, fault)));
	}

	private void ended(long startNanos, String fault) {
		this.totalNanos.recordValue(System.nanoTime() - startNanos);
		if (!fault.isEmpty()) {
			this.failed.incrementAndGet();
		}
		this.ended.countDown();
		sendNext();
	}

}
