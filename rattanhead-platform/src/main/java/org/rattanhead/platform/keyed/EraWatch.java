package org.rattanhead.platform.keyed;

import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

import org.rattanhead.core.Payload;
import org.rattanhead.core.keyed.KeyedStream;
import org.rattanhead.core.keyed.StreamPosition;

/**
 * A store whose answers are watched for its era. A later era means that the store was
 * restored from an older copy, which concerns all streams, whichever was read.
 */
public final class EraWatch implements KeyedStore {

	private final KeyedStore store;

	private final Consumer<Long> onEra;

	/**
	 * Creates a watch.
	 * @param store the store
	 * @param onEra receives the era of each answer that names one
	 */
	public EraWatch(KeyedStore store, Consumer<Long> onEra) {
		this.store = store;
		this.onEra = onEra;
	}

	@Override
	public CompletableFuture<KeyedPage> newest(KeyedStream stream, String afterKey) {
		return watchPage(this.store.newest(stream, afterKey));
	}

	@Override
	public CompletableFuture<KeyedPage> changes(KeyedStream stream, StreamPosition from, long waitMillis) {
		return watchPage(this.store.changes(stream, from, waitMillis));
	}

	@Override
	public CompletableFuture<Long> put(KeyedStream stream, String key, Payload value) {
		return this.store.put(stream, key, value).whenComplete((era, failure) -> {
			if (failure == null) {
				this.onEra.accept(era);
			}
		});
	}

	private CompletableFuture<KeyedPage> watchPage(CompletableFuture<KeyedPage> call) {
		return call.whenComplete((page, failure) -> {
			if (failure == null) {
				this.onEra.accept(page.next().era());
			}
		});
	}

}
