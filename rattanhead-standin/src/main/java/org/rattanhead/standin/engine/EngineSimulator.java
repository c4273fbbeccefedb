package org.rattanhead.standin.engine;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Simulates an engine: continuous batching, priorities, KV cache memory, cold start and
 * faults. The caller supplies the time. Not thread-safe; only the duty of the engine uses
 * it.
 */
final class EngineSimulator {

	private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

	private static final long RESTART_MILLIS = 300;

	private static final Comparator<Sequence> SERVICE_ORDER = Comparator.comparingInt(Sequence::priority)
		.thenComparingLong(Sequence::arrivalNumber);

	private final EngineProfile profile;

	private final Map<String, Sequence> waiting = new LinkedHashMap<>();

	private final Map<String, Sequence> running = new LinkedHashMap<>();

	private final Map<String, Long> heldTokens = new HashMap<>();

	private final Map<EngineFault, Long> pendingFaults = new HashMap<>();

	private final Deque<TimedLoad> loadHistory = new ArrayDeque<>();

	private int bootCount = 1;

	private long downUntilNanos = Long.MIN_VALUE;

	private long coldUntilNanos;

	private long unresponsiveUntilNanos = Long.MIN_VALUE;

	private long lastStepNanos;

	private long arrivalCount;

	private long highestFencingNumber;

	private String previousRequestId = "";

	private EngineCounts counts = new EngineCounts(0, 0, 0, 0, 0);

	EngineSimulator(EngineProfile profile, long nowNanos) {
		this.profile = profile;
		this.lastStepNanos = nowNanos;
		this.coldUntilNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(profile.coldStartMillis());
	}

	boolean down(long nowNanos) {
		return nowNanos < this.downUntilNanos;
	}

	boolean unresponsive(long nowNanos) {
		return nowNanos < this.unresponsiveUntilNanos;
	}

	EngineCounts counts() {
		return this.counts;
	}

	List<HeldMemoryBody> heldMemory() {
		return this.heldTokens.entrySet()
			.stream()
			.map((entry) -> new HeldMemoryBody(entry.getKey(), entry.getValue()))
			.toList();
	}

	boolean freeMemory(String id) {
		return this.heldTokens.remove(id) != null;
	}

	LoadBody reportedLoad(long nowNanos) {
		long visibleNanos = nowNanos - TimeUnit.MILLISECONDS.toNanos(this.profile.loadLagMillis());
		LoadBody reported = currentLoad(nowNanos);
		for (TimedLoad load : this.loadHistory) {
			reported = load.load();
			if (load.measuredNanos() >= visibleNanos) {
				break;
			}
		}
		return reported;
	}

	void submit(EngineRequest request, SequenceSink sink, long nowNanos) {
		if (down(nowNanos)) {
			sink.onReset();
			return;
		}
		if (failsFencingCheck(request)) {
			sink.onFencingRejected();
			return;
		}
		Sequence sequence = new Sequence(request, sink, this.arrivalCount++);
		applyFaults(sequence);
		this.previousRequestId = request.id();
		this.waiting.put(request.id(), sequence);
		updatePeaks(nowNanos);
		if (cold(nowNanos) && requestCount() > this.profile.coldStartSlots()) {
			this.counts = new EngineCounts(this.counts.crashes(), this.counts.coldOverloads() + 1,
					this.counts.mostRunningCold(), this.counts.mostRunning(), this.counts.finished());
			crash(nowNanos);
		}
	}

	void cancel(String id) {
		if (consumeFault(EngineFault.IGNORE_CANCELS)) {
			return;
		}
		Sequence sequence = this.running.remove(id);
		if (sequence == null) {
			sequence = this.waiting.remove(id);
		}
		this.heldTokens.remove(id);
		if (sequence != null) {
			sequence.sink().onReset();
		}
	}

	void setFault(FaultBody body, long nowNanos) {
		switch (body.fault()) {
			case CRASH -> crash(nowNanos);
			case SILENCE -> suspendUntil(nowNanos + TimeUnit.MILLISECONDS.toNanos(body.amount()));
			default -> this.pendingFaults.put(body.fault(), body.amount());
		}
	}

	void step(long nowNanos) {
		double seconds = (nowNanos - this.lastStepNanos) / NANOS_PER_SECOND;
		this.lastStepNanos = nowNanos;
		this.loadHistory.addLast(new TimedLoad(nowNanos, currentLoad(nowNanos)));
		long oldestKeptNanos = nowNanos - 2 * TimeUnit.MILLISECONDS.toNanos(this.profile.loadLagMillis()) - 1;
		while (this.loadHistory.size() > 1 && this.loadHistory.peekFirst().measuredNanos() < oldestKeptNanos) {
			this.loadHistory.pollFirst();
		}
		if (down(nowNanos) || unresponsive(nowNanos)) {
			return;
		}
		admit();
		prefill(seconds * this.profile.prefillTokensPerSecond());
		decode(seconds * this.profile.decodeTokensPerSecond());
	}

	private boolean failsFencingCheck(EngineRequest request) {
		boolean stale = this.profile.checksFencing() && request.fencingNumber() < this.highestFencingNumber;
		this.highestFencingNumber = Math.max(this.highestFencingNumber, request.fencingNumber());
		return stale;
	}

	private void suspendUntil(long untilNanos) {
		this.unresponsiveUntilNanos = untilNanos;
	}

	private void admit() {
		for (Sequence sequence : this.waiting.values().stream().sorted(SERVICE_ORDER).toList()) {
			long needed = sequence.request().memoryTokens();
			if (this.running.size() >= this.profile.slots() || usedTokens() + needed > this.profile.memoryTokens()) {
				return;
			}
			this.waiting.remove(sequence.request().id());
			this.running.put(sequence.request().id(), sequence);
			this.heldTokens.put(sequence.request().id(), needed);
		}
	}

	private void prefill(double tokens) {
		double budget = tokens;
		for (Sequence sequence : this.running.values()
			.stream()
			.filter(Sequence::prefilling)
			.sorted(SERVICE_ORDER)
			.toList()) {
			budget -= sequence.prefill(budget);
		}
	}

	private void decode(double tokens) {
		for (Sequence sequence : new ArrayList<>(this.running.values())) {
			if (!sequence.prefilling() && sequence.decode(tokens)) {
				this.running.remove(sequence.request().id());
				this.heldTokens.remove(sequence.request().id());
				sequence.finish();
				this.counts = new EngineCounts(this.counts.crashes(), this.counts.coldOverloads(),
						this.counts.mostRunningCold(), this.counts.mostRunning(), this.counts.finished() + 1);
			}
		}
	}

	private void crash(long nowNanos) {
		List<Sequence> sequences = new ArrayList<>(this.running.values());
		sequences.addAll(this.waiting.values());
		this.running.clear();
		this.waiting.clear();
		this.heldTokens.clear();
		this.bootCount++;
		this.downUntilNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(RESTART_MILLIS);
		this.coldUntilNanos = this.downUntilNanos + TimeUnit.MILLISECONDS.toNanos(this.profile.coldStartMillis());
		this.counts = new EngineCounts(this.counts.crashes() + 1, this.counts.coldOverloads(),
				this.counts.mostRunningCold(), this.counts.mostRunning(), this.counts.finished());
		sequences.forEach((sequence) -> sequence.sink().onReset());
	}

	private void applyFaults(Sequence sequence) {
		if (consumeFault(EngineFault.CROSS_ANSWERS)) {
			sequence.answerId(this.previousRequestId.isEmpty() ? "other.1" : this.previousRequestId);
		}
		if (consumeFault(EngineFault.TRUNCATE_ANSWERS)) {
			sequence.truncate();
		}
	}

	private boolean consumeFault(EngineFault fault) {
		long remaining = this.pendingFaults.getOrDefault(fault, 0L);
		if (remaining > 0) {
			this.pendingFaults.put(fault, remaining - 1);
		}
		return remaining > 0;
	}

	private void updatePeaks(long nowNanos) {
		int mostRunningCold = cold(nowNanos) ? Math.max(this.counts.mostRunningCold(), requestCount())
				: this.counts.mostRunningCold();
		this.counts = new EngineCounts(this.counts.crashes(), this.counts.coldOverloads(), mostRunningCold,
				Math.max(this.counts.mostRunning(), requestCount()), this.counts.finished());
	}

	private LoadBody currentLoad(long nowNanos) {
		return new LoadBody(this.profile.name() + "-" + this.bootCount, cold(nowNanos), this.running.size(),
				this.waiting.size(), usedTokens());
	}

	private boolean cold(long nowNanos) {
		return nowNanos < this.coldUntilNanos;
	}

	private int requestCount() {
		return this.running.size() + this.waiting.size();
	}

	private long usedTokens() {
		return this.heldTokens.values().stream().mapToLong(Long::longValue).sum();
	}

}
