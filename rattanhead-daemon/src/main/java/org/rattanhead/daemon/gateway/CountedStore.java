package org.rattanhead.daemon.gateway;

import java.util.concurrent.CompletableFuture;

import org.rattanhead.core.Payload;
import org.rattanhead.core.keyed.KeyedStream;
import org.rattanhead.core.keyed.StreamPosition;
import org.rattanhead.platform.keyed.KeyedPage;
import org.rattanhead.platform.keyed.KeyedStore;

/**
 * Counts the calls to the store, each of which is billed, also if it fails.
 */
final class CountedStore implements KeyedStore {

	private final KeyedStore store;

	private final GatewayMetrics metrics;

	CountedStore(KeyedStore store, GatewayMetrics metrics) {
		this.store = store;
		this.metrics = metrics;
	}

	@Override
	public CompletableFuture<KeyedPage> newest(KeyedStream stream, String afterKey) {
		return count(stream, "newest", this.store.newest(stream, afterKey));
	}

	@Override
	public CompletableFuture<KeyedPage> changes(KeyedStream stream, StreamPosition from, long waitMillis) {
		return count(stream, "changes", this.store.changes(stream, from, waitMillis));
	}

	@Override
	public CompletableFuture<Long> put(KeyedStream stream, String key, Payload value) {
		return count(stream, "put", this.store.put(stream, key, value));
	}

	private <T> CompletableFuture<T> count(KeyedStream stream, String kind, CompletableFuture<T> call) {
		return call.whenComplete((result, failure) -> this.metrics.countStoreCall(stream, kind, failure == null));
	}

}
