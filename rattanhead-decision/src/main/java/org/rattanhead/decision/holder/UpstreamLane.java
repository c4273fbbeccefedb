package org.rattanhead.decision.holder;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import java.util.stream.Stream;

import org.rattanhead.core.catalogue.UpstreamEntry;
import org.rattanhead.core.request.AttemptId;
import org.rattanhead.core.request.Work;
import org.rattanhead.core.upstream.UpstreamDigest;

/**
 * The queued and running work of one upstream, within its slots and memory. Owned by one
 * duty.
 */
final class UpstreamLane {

	private static final int MAX_WAITING = 256;

	private static final Comparator<HeldWork> ORDER = Comparator.comparingInt((HeldWork held) -> held.work().priority())
		.thenComparingInt((held) -> held.work().promptTokens())
		.thenComparingLong(HeldWork::sequence);

	private final TreeSet<HeldWork> waiting = new TreeSet<>(ORDER);

	private final Map<AttemptId, HeldWork> running = new HashMap<>();

	private final ColdStartGate gate = new ColdStartGate();

	private UpstreamEntry upstream;

	private long reservedTokens;

	private long outstandingTokens;

	UpstreamLane(UpstreamEntry upstream) {
		this.upstream = upstream;
	}

	UpstreamEntry upstream() {
		return this.upstream;
	}

	void update(UpstreamEntry newUpstream) {
		this.upstream = newUpstream;
	}

	ColdStartGate gate() {
		return this.gate;
	}

	boolean full() {
		return this.waiting.size() >= MAX_WAITING;
	}

	boolean idle() {
		return this.waiting.isEmpty() && this.running.isEmpty();
	}

	void enqueue(HeldWork held) {
		this.waiting.add(held);
		this.outstandingTokens += held.work().memoryTokens();
	}

	Optional<HeldWork> dispatchNext() {
		if (this.waiting.isEmpty() || this.running.size() >= limit()) {
			return Optional.empty();
		}
		HeldWork next = this.waiting.first();
		if (!fits(next.work())) {
			return Optional.empty();
		}
		this.waiting.remove(next);
		this.running.put(next.work().attempt(), next);
		this.reservedTokens += next.work().memoryTokens();
		return Optional.of(next);
	}

	Optional<HeldWork> findRunning(AttemptId attempt) {
		return Optional.ofNullable(this.running.get(attempt));
	}

	Optional<HeldWork> endRunning(AttemptId attempt) {
		HeldWork held = this.running.remove(attempt);
		if (held != null) {
			this.reservedTokens -= held.work().memoryTokens();
			this.outstandingTokens -= held.work().memoryTokens();
		}
		return Optional.ofNullable(held);
	}

	Optional<HeldWork> removeWaiting(AttemptId attempt) {
		Optional<HeldWork> found = this.waiting.stream()
			.filter((held) -> held.work().attempt().equals(attempt))
			.findFirst();
		found.ifPresent(this::forget);
		return found;
	}

	List<HeldWork> removeAllWaiting() {
		List<HeldWork> all = new ArrayList<>(this.waiting);
		all.forEach(this::forget);
		return all;
	}

	List<AttemptId> attemptsOf(String host) {
		return Stream.concat(this.waiting.stream(), this.running.values().stream())
			.filter((held) -> held.fromHost().equals(host))
			.map((held) -> held.work().attempt())
			.toList();
	}

	UpstreamDigest digest(boolean accepting) {
		return new UpstreamDigest(this.upstream.name(), accepting && !full(), !this.gate.warm(), this.running.size(),
				this.waiting.size(), this.outstandingTokens, this.upstream.memoryTokens() - this.reservedTokens);
	}

	private int limit() {
		return this.gate.warm() ? this.upstream.slots() : this.upstream.coldStartSlots();
	}

	private boolean fits(Work work) {
		return !this.upstream.engine() || this.reservedTokens + work.memoryTokens() <= this.upstream.memoryTokens();
	}

	private void forget(HeldWork held) {
		this.waiting.remove(held);
		this.outstandingTokens -= held.work().memoryTokens();
	}

}
