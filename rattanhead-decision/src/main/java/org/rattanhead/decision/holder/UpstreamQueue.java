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
final class UpstreamQueue {

	private static final int MAX_WAITING_REQUESTS = 256;

	private static final Comparator<AcceptedWork> DISPATCH_ORDER = Comparator
		.comparingInt((AcceptedWork accepted) -> accepted.work().priority())
		.thenComparingInt((accepted) -> accepted.work().promptTokens())
		.thenComparingLong(AcceptedWork::sequence);

	private final TreeSet<AcceptedWork> waiting = new TreeSet<>(DISPATCH_ORDER);

	private final Map<AttemptId, AcceptedWork> running = new HashMap<>();

	private final ColdStartGate coldStartGate = new ColdStartGate();

	private UpstreamEntry upstream;

	private long reservedTokens;

	private long outstandingTokens;

	UpstreamQueue(UpstreamEntry upstream) {
		this.upstream = upstream;
	}

	UpstreamEntry upstream() {
		return this.upstream;
	}

	void update(UpstreamEntry newUpstream) {
		this.upstream = newUpstream;
	}

	ColdStartGate coldStartGate() {
		return this.coldStartGate;
	}

	boolean queueFull() {
		return this.waiting.size() >= MAX_WAITING_REQUESTS;
	}

	boolean idle() {
		return this.waiting.isEmpty() && this.running.isEmpty();
	}

	void enqueue(AcceptedWork accepted) {
		this.waiting.add(accepted);
		this.outstandingTokens += accepted.work().memoryTokens();
	}

	Optional<AcceptedWork> dispatchNext() {
		if (this.waiting.isEmpty() || this.running.size() >= concurrencyLimit()) {
			return Optional.empty();
		}
		AcceptedWork next = this.waiting.first();
		if (!fitsMemory(next.work())) {
			return Optional.empty();
		}
		this.waiting.remove(next);
		this.running.put(next.work().attempt(), next);
		this.reservedTokens += next.work().memoryTokens();
		return Optional.of(next);
	}

	Optional<AcceptedWork> findRunning(AttemptId attempt) {
		return Optional.ofNullable(this.running.get(attempt));
	}

	Optional<AcceptedWork> endRunning(AttemptId attempt) {
		AcceptedWork accepted = this.running.remove(attempt);
		if (accepted != null) {
			this.reservedTokens -= accepted.work().memoryTokens();
			this.outstandingTokens -= accepted.work().memoryTokens();
		}
		return Optional.ofNullable(accepted);
	}

	Optional<AcceptedWork> removeWaiting(AttemptId attempt) {
		Optional<AcceptedWork> found = this.waiting.stream()
			.filter((accepted) -> accepted.work().attempt().equals(attempt))
			.findFirst();
		found.ifPresent(this::dequeue);
		return found;
	}

	List<AcceptedWork> removeAllWaiting() {
		List<AcceptedWork> all = new ArrayList<>(this.waiting);
		all.forEach(this::dequeue);
		return all;
	}

	List<AttemptId> attemptsFromHost(String host) {
		return Stream.concat(this.waiting.stream(), this.running.values().stream())
			.filter((accepted) -> accepted.fromHost().equals(host))
			.map((accepted) -> accepted.work().attempt())
			.toList();
	}

	UpstreamDigest digest(boolean accepting) {
		return new UpstreamDigest(this.upstream.name(), accepting && !queueFull(), !this.coldStartGate.warm(),
				this.running.size(), this.waiting.size(), this.outstandingTokens,
				this.upstream.memoryTokens() - this.reservedTokens);
	}

	private int concurrencyLimit() {
		return this.coldStartGate.warm() ? this.upstream.slots() : this.upstream.coldStartSlots();
	}

	private boolean fitsMemory(Work work) {
		return !this.upstream.engine() || this.reservedTokens + work.memoryTokens() <= this.upstream.memoryTokens();
	}

	private void dequeue(AcceptedWork accepted) {
		this.waiting.remove(accepted);
		this.outstandingTokens -= accepted.work().memoryTokens();
	}

}
