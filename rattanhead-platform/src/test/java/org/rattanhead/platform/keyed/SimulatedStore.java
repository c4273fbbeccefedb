package org.rattanhead.platform.keyed;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;

import org.rattanhead.core.Payload;
import org.rattanhead.core.keyed.KeyedRecord;
import org.rattanhead.core.keyed.KeyedStream;
import org.rattanhead.core.keyed.StreamPosition;

/**
 * A store in virtual time that counts calls, holds reads that wait, refuses or loses the
 * calls of some hosts, and can be restored from an older copy.
 */
final class SimulatedStore {

	static final long FIRST_ERA = 1;

	/** How long a call takes in each direction. */
	private static final long LATENCY_MILLIS = 3;

	/** The time-out of a lost call in addition to the time that it waits. */
	private static final long TIMEOUT_MILLIS = 1_000;

	private static final long SLOW_ANSWER_MILLIS = 7_000;

	private static final int MAX_PAGE_BYTES = 1024 * 1024;

	private static final String NEWEST = " newest";

	final Set<String> refusedHosts = new HashSet<>();

	/** Hosts whose calls and answers are lost, those under way included. */
	final Set<String> lostHosts = new HashSet<>();

	final SimulatedLinks links = new SimulatedLinks();

	private final VirtualTime time;

	private final Map<KeyedStream, List<StoredRecord>> records = new EnumMap<>(KeyedStream.class);

	private final Map<KeyedStream, List<Runnable>> waiting = new EnumMap<>(KeyedStream.class);

	/** Calls that have arrived and are not answered. */
	private final Set<CompletableFuture<?>> pending = new HashSet<>();

	private final Map<String, Integer> calls = new TreeMap<>();

	private final Map<KeyedStream, String> lastReaders = new EnumMap<>(KeyedStream.class);

	private long era = FIRST_ERA;

	private boolean away;

	SimulatedStore(VirtualTime time) {
		this.time = time;
		for (KeyedStream stream : KeyedStream.values()) {
			this.records.put(stream, new ArrayList<>());
			this.waiting.put(stream, new ArrayList<>());
		}
	}

	/**
	 * Returns the calls since the previous call of this method.
	 * @return the number by stream, kind and outcome
	 */
	Map<String, Integer> takeCalls() {
		Map<String, Integer> taken = new TreeMap<>(this.calls);
		this.calls.clear();
		return taken;
	}

	/**
	 * Returns the host that read a stream last.
	 * @param stream the stream
	 * @return the host
	 */
	String lastReader(KeyedStream stream) {
		return this.lastReaders.get(stream);
	}

	/** Lets the store refuse all calls, those that have arrived included. */
	void goAway() {
		this.away = true;
		List<CompletableFuture<?>> refused = List.copyOf(this.pending);
		this.pending.clear();
		refused.forEach((answer) -> answer.completeExceptionally(new IllegalStateException("reset")));
	}

	/**
	 * Lets the store come back without what was written after a copy of it.
	 * @param copyMillis when the copy was made, in milliseconds
	 */
	void restore(long copyMillis) {
		this.away = false;
		this.era++;
		this.records.values().forEach((all) -> all.removeIf((record) -> record.millis() > copyMillis));
	}

	/**
	 * Returns the newest value of each key.
	 * @param stream the stream
	 * @return the values by key
	 */
	Map<String, String> values(KeyedStream stream) {
		Map<String, String> values = new LinkedHashMap<>();
		this.records.get(stream)
			.forEach((stored) -> values.put(stored.record().key(), stored.record().value().orElseThrow().text()));
		return values;
	}

	/**
	 * Writes a record, unless the store is away.
	 * @param stream the stream
	 * @param key the key
	 * @param value the value
	 */
	void append(KeyedStream stream, String key, String value) {
		if (this.away) {
			return;
		}
		this.records.get(stream)
			.add(new StoredRecord(this.time.millis(), new KeyedRecord(key, Optional.of(Payload.of(value)))));
		List<Runnable> readers = new ArrayList<>(this.waiting.get(stream));
		this.waiting.get(stream).clear();
		readers.forEach(Runnable::run);
	}

	KeyedStore connect(String host) {
		return new KeyedStore() {
			@Override
			public CompletableFuture<KeyedPage> newest(KeyedStream stream, String afterKey) {
				return call(host, stream + NEWEST, 0, (answer) -> answer.complete(SimulatedStore.this.newest(stream)));
			}

			@Override
			public CompletableFuture<KeyedPage> changes(KeyedStream stream, StreamPosition from, long waitMillis) {
				SimulatedStore.this.lastReaders.put(stream, host);
				return call(host, stream + " changes", waitMillis,
						(answer) -> SimulatedStore.this.read(stream, from.offset(), waitMillis, answer));
			}

			@Override
			public CompletableFuture<Long> put(KeyedStream stream, String key, Payload value) {
				return call(host, stream + " put", 0, (answer) -> {
					append(stream, key, value.text());
					answer.complete(SimulatedStore.this.era);
				});
			}
		};
	}

	private <T> CompletableFuture<T> call(String host, String kind, long waitMillis, Serving<T> serving) {
		boolean refused = this.refusedHosts.contains(host);
		this.calls.merge(kind + (refused ? " refused" : ""), 1, Integer::sum);
		CompletableFuture<T> result = new CompletableFuture<>();
		CompletableFuture<T> answer = new CompletableFuture<>();
		// As with the HTTP client, an answer that keeps arriving is given more time.
		this.time.after(waitMillis + TIMEOUT_MILLIS,
				() -> this.time.after((answer.isDone() && !this.lostHosts.contains(host)) ? SLOW_ANSWER_MILLIS : 0,
						() -> result.completeExceptionally(new IllegalStateException("no answer"))));
		answer.whenComplete((value, failure) -> this.pending.remove(answer));
		answer.whenComplete(
				(value, failure) -> this.time.after(LATENCY_MILLIS + transferMillis(host, kind, value), () -> {
					if (this.lostHosts.contains(host)) {
						return;
					}
					if (failure != null) {
						result.completeExceptionally(failure);
					}
					else {
						result.complete(value);
					}
				}));
		this.time.after(LATENCY_MILLIS, () -> {
			if (refused || this.away) {
				answer.completeExceptionally(new IllegalStateException("refused"));
			}
			else if (!this.lostHosts.contains(host)) {
				this.pending.add(answer);
				serving.serve(answer);
			}
		});
		return result;
	}

	private static List<KeyedRecord> firstPage(List<KeyedRecord> records) {
		int count = 0;
		int bytes = 0;
		while (count < records.size()
				&& (count == 0 || bytes + SimulatedLinks.length(records.get(count)) <= MAX_PAGE_BYTES)) {
			bytes += SimulatedLinks.length(records.get(count));
			count++;
		}
		return records.subList(0, count);
	}

	private long transferMillis(String host, String kind, Object answer) {
		return this.links.transferMillis(host, kind.endsWith(NEWEST), answer, this.time.millis());
	}

	private KeyedPage newest(KeyedStream stream) {
		Map<String, KeyedRecord> newest = new LinkedHashMap<>();
		this.records.get(stream).forEach((stored) -> newest.put(stored.record().key(), stored.record()));
		return new KeyedPage(List.copyOf(newest.values()), position(this.records.get(stream).size()), false, false);
	}

	private StreamPosition position(long offset) {
		return new StreamPosition(this.era, offset);
	}

	private void read(KeyedStream stream, long fromOffset, long waitMillis, CompletableFuture<KeyedPage> answer) {
		List<StoredRecord> all = this.records.get(stream);
		if (fromOffset > all.size()) {
			answer.complete(new KeyedPage(List.of(), position(fromOffset), false, true));
			return;
		}
		Runnable respond = () -> {
			if (!answer.isDone()) {
				List<KeyedRecord> found = firstPage(all.stream().skip(fromOffset).map(StoredRecord::record).toList());
				long next = fromOffset + found.size();
				answer.complete(new KeyedPage(found, position(next), next < all.size(), false));
			}
		};
		if (all.size() > fromOffset || waitMillis == 0) {
			respond.run();
			return;
		}
		this.waiting.get(stream).add(respond);
		this.time.after(waitMillis, () -> {
			this.waiting.get(stream).remove(respond);
			respond.run();
		});
	}

	/**
	 * A record and when it was written.
	 *
	 * @param millis when it was written, in milliseconds
	 * @param record the record
	 */
	private record StoredRecord(long millis, KeyedRecord record) {
	}

	/**
	 * Answers a call that has arrived.
	 *
	 * @param <T> the type of the answer
	 */
	@FunctionalInterface
	private interface Serving<T> {

		void serve(CompletableFuture<T> answer);

	}

}
