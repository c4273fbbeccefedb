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

/**
 * A store in virtual time that counts calls, holds reads that wait, and refuses or loses
 * the calls of some hosts.
 */
final class SimulatedStore {

	/** How long a call takes in each direction. */
	private static final long LATENCY_MILLIS = 3;

	/** The time-out of a lost call in addition to the time that it waits. */
	private static final long TIMEOUT_MILLIS = 1_000;

	final Set<String> refusedHosts = new HashSet<>();

	/** Hosts whose calls and answers are lost, those under way included. */
	final Set<String> lostHosts = new HashSet<>();

	private final VirtualTime time;

	private final Map<KeyedStream, List<KeyedRecord>> records = new EnumMap<>(KeyedStream.class);

	private final Map<KeyedStream, List<Runnable>> waiting = new EnumMap<>(KeyedStream.class);

	private final Map<String, Integer> calls = new TreeMap<>();

	private final Map<KeyedStream, String> lastReaders = new EnumMap<>(KeyedStream.class);

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

	void append(KeyedStream stream, String key, String value) {
		this.records.get(stream).add(new KeyedRecord(key, Optional.of(Payload.of(value))));
		List<Runnable> readers = new ArrayList<>(this.waiting.get(stream));
		this.waiting.get(stream).clear();
		readers.forEach(Runnable::run);
	}

	KeyedStore connect(String host) {
		return new KeyedStore() {
			@Override
			public CompletableFuture<KeyedPage> newest(KeyedStream stream, String afterKey) {
				return call(host, stream + " newest", 0,
						(answer) -> answer.complete(SimulatedStore.this.newest(stream)));
			}

			@Override
			public CompletableFuture<KeyedPage> changes(KeyedStream stream, long fromOffset, long waitMillis) {
				SimulatedStore.this.lastReaders.put(stream, host);
				return call(host, stream + " changes", waitMillis,
						(answer) -> SimulatedStore.this.read(stream, fromOffset, waitMillis, answer));
			}

			@Override
			public CompletableFuture<Void> put(KeyedStream stream, String key, Payload value) {
				return call(host, stream + " put", 0, (answer) -> {
					append(stream, key, value.text());
					answer.complete(null);
				});
			}
		};
	}

	private <T> CompletableFuture<T> call(String host, String kind, long waitMillis, Serving<T> serving) {
		boolean refused = this.refusedHosts.contains(host);
		this.calls.merge(kind + (refused ? " refused" : ""), 1, Integer::sum);
		CompletableFuture<T> result = new CompletableFuture<>();
		CompletableFuture<T> answer = new CompletableFuture<>();
		this.time.after(waitMillis + TIMEOUT_MILLIS,
				() -> result.completeExceptionally(new IllegalStateException("no answer")));
		answer.whenComplete((value, failure) -> this.time.after(LATENCY_MILLIS, () -> {
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
			if (refused) {
				answer.completeExceptionally(new IllegalStateException("refused"));
			}
			else if (!this.lostHosts.contains(host)) {
				serving.serve(answer);
			}
		});
		return result;
	}

	private KeyedPage newest(KeyedStream stream) {
		Map<String, KeyedRecord> newest = new LinkedHashMap<>();
		this.records.get(stream).forEach((record) -> newest.put(record.key(), record));
		return new KeyedPage(List.copyOf(newest.values()), this.records.get(stream).size(), false, false);
	}

	private void read(KeyedStream stream, long fromOffset, long waitMillis, CompletableFuture<KeyedPage> answer) {
		List<KeyedRecord> all = this.records.get(stream);
		Runnable respond = () -> answer
			.complete(new KeyedPage(List.copyOf(all.subList((int) fromOffset, all.size())), all.size(), false, false));
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
	 * Answers a call that has arrived.
	 *
	 * @param <T> the type of the answer
	 */
	@FunctionalInterface
	private interface Serving<T> {

		void serve(CompletableFuture<T> answer);

	}

}
