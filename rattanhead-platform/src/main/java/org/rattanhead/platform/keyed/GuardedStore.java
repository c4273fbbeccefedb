package org.rattanhead.platform.keyed;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;

import org.rattanhead.core.Payload;
import org.rattanhead.core.keyed.KeyedStream;
import org.rattanhead.core.keyed.StreamPosition;

/**
 * Limits the calls to a store that refuses them. After a failed read, one call at a time
 * tests whether the store has returned; all others fail without being made. A failed
 * write alone does not count, since a store may refuse one record for its content.
 */
public final class GuardedStore implements KeyedStore {

	private static final long FIRST_PAUSE_MILLIS = 300;

	/**
	 * The maximum pause before it is lengthened at random. With the time-out of a call
	 * and the retries of the streams it stays below the 4 s within which a host has to be
	 * in contact again.
	 */
	private static final long MAX_PAUSE_MILLIS = 1_200;

	private static final int MAX_DOUBLINGS = 5;

	private static final double SPREAD_SHARE = 0.3;

	private final KeyedStore store;

	private final LongSupplier clock;

	private final RandomGenerator random;

	private int failures;

	private boolean testing;

	private long nextTestNanos;

	/**
	 * Creates a guard.
	 * @param store the store
	 * @param clock the monotonic clock, in nanoseconds
	 * @param random spreads the calls of the daemons in time
	 */
	public GuardedStore(KeyedStore store, LongSupplier clock, RandomGenerator random) {
		this.store = store;
		this.clock = clock;
		this.random = random;
	}

	@Override
	public CompletableFuture<KeyedPage> newest(KeyedStream stream, String afterKey) {
		return guard(true, (test) -> this.store.newest(stream, afterKey));
	}

	@Override
	public CompletableFuture<KeyedPage> changes(KeyedStream stream, StreamPosition from, long waitMillis) {
		// A test that waits would keep all other calls from being made.
		return guard(true, (test) -> this.store.changes(stream, from, test ? 0 : waitMillis));
	}

	@Override
	public CompletableFuture<Long> put(KeyedStream stream, String key, Payload value) {
		return guard(false, (test) -> this.store.put(stream, key, value));
	}

	private <T> CompletableFuture<T> guard(boolean read, Function<Boolean, CompletableFuture<T>> call) {
		boolean test;
		synchronized (this) {
			test = this.failures > 0;
			if (test && (this.testing || this.clock.getAsLong() < this.nextTestNanos)) {
				return CompletableFuture.failedFuture(new StoreUnavailableException());
			}
			this.testing = test;
		}
		return call.apply(test).whenComplete((result, failure) -> onEnd(read, test, failure != null));
	}

	private synchronized void onEnd(boolean read, boolean test, boolean failed) {
		if (test) {
			this.testing = false;
		}
		if (!failed) {
			this.failures = 0;
		}
		else if (test || (read && this.failures == 0)) {
			long pauseMillis = Math.min(FIRST_PAUSE_MILLIS << Math.min(this.failures, MAX_DOUBLINGS), MAX_PAUSE_MILLIS);
			this.failures++;
			this.nextTestNanos = this.clock.getAsLong() + TimeUnit.MILLISECONDS
				.toNanos(pauseMillis + Math.round(pauseMillis * SPREAD_SHARE * this.random.nextDouble()));
		}
	}

}
