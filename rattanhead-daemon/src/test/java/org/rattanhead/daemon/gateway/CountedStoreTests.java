package org.rattanhead.daemon.gateway;

import java.util.List;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.rattanhead.core.Payload;
import org.rattanhead.core.keyed.KeyedStream;
import org.rattanhead.core.keyed.StreamPosition;
import org.rattanhead.platform.keyed.KeyedPage;
import org.rattanhead.platform.keyed.KeyedStore;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * The calls to the store on the metrics page.
 */
class CountedStoreTests {

	private final CompletableFuture<KeyedPage> page = new CompletableFuture<>();

	private final GatewayMetrics metrics = new GatewayMetrics();

	private final CountedStore store = new CountedStore(new KeyedStore() {
		@Override
		public CompletableFuture<KeyedPage> newest(KeyedStream stream, String afterKey) {
			return CountedStoreTests.this.page;
		}

		@Override
		public CompletableFuture<KeyedPage> changes(KeyedStream stream, StreamPosition from, long waitMillis) {
			return CountedStoreTests.this.page;
		}

		@Override
		public CompletableFuture<Long> put(KeyedStream stream, String key, Payload value) {
			return CountedStoreTests.this.page.thenApply((read) -> StreamPosition.NO_ERA);
		}
	}, this.metrics);

	/** Guards against calls that are billed and missing on the metrics page. */
	@ParameterizedTest(name = "{0} of {1}, refused {2}")
	@CsvSource({ "newest, OPERATORS, false", "changes, INSTANCES, false", "changes, INSTANCES, true",
			"put, MEMBERS, true" })
	void countsByStreamKindAndOutcome(String kind, KeyedStream stream, boolean refused) {
		switch (kind) {
			case "newest" -> this.store.newest(stream, "");
			case "changes" -> this.store.changes(stream, StreamPosition.of(0), 0);
			default -> this.store.put(stream, "k", Payload.of("v"));
		}
		if (refused) {
			this.page.completeExceptionally(new IllegalStateException("refused"));
		}
		else {
			this.page.complete(new KeyedPage(List.of(), StreamPosition.of(0), false, false));
		}
		assertThat(this.metrics.page().text()).contains("rattanhead_store_calls_total{kind=\"" + kind + "\",outcome=\""
				+ (refused ? "failed" : "ok") + "\",stream=\"" + stream.name().toLowerCase(Locale.ROOT) + "\"} 1.0");
	}

}
