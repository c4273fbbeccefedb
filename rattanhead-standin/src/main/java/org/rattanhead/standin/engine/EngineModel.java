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
 * The behaviour of an engine: continuous batching, priorities, a memory ledger, cold
 * start, faults. Time is an argument. Owned by one duty.
 */
final class EngineModel {

	private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

	private static final long RESTART_MILLIS = 300;

	private static final Comparator<Sequence> ORDER = Comparator.comparingInt(Sequence::priority)
		.thenComparingLong(Sequence::arrival);

	private final EngineProfile profile;

	private final Map<String, Sequence> waiting = new LinkedHashMap<>();

	private final Map<String, Sequence> running = new LinkedHashMap<>();

	private final Map<String, Long> held = new HashMap<>();

	private final Map<EngineFault, Long> faults = new HashMap<>();

	private final Deque<TimedLoad> loads = new ArrayDeque<>();

	private int boots = 1;

	private long downUntilNanos = Long.MIN_VALUE;

	private long coldUntilNanos;

	private long silentUntilNanos = Long.MIN_VALUE;

	private long lastStepNanos;

	private long arrivals;

	private long highestFencingNumber;

	private String previousId = "";

	private EngineCounts counts = new EngineCounts(0, 0, 0, 0, 0);

	EngineModel(EngineProfile profile, long nowNanos) {
		this.profile = profile;
		this.lastStepNanos = nowNanos;
		this.coldUntilNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(profile.coldStartMillis());
	}

	boolean down(long nowNanos) {
		return nowNanos < this.downUntilNanos;
	}

	boolean silent(long nowNanos) {
		return nowNanos < this.silentUntilNanos;
	}

	EngineCounts counts() {
		return this.counts;
	}

	List<HeldBody> heldMemory() {
		return this.held.entrySet().stream().map((entry) -> new HeldBody(entry.getKey(), entry.getValue())).toList();
	}

	boolean free(String id) {
		return this.held.remove(id) != null;
	}

	LoadBody load(long nowNanos) {
		long visibleNanos = nowNanos - TimeUnit.MILLISECONDS.toNanos(this.profile.loadLagMillis());
		LoadBody visible = currentLoad(nowNanos);
		for (TimedLoad load : this.loads) {
			visible = load.load();
			if (load.atNanos() >= visibleNanos) {
				break;
			}
		}
		return visible;
	}

	void arrive(EngineRequest request, SequenceSink sink, long nowNanos) {
		if (down(nowNanos)) {
			sink.onReset();
			return;
		}
		if (fenced(request)) {
			sink.onFenced();
			return;
		}
		Sequence sequence = new Sequence(request, sink, this.arrivals++);
		applyFaults(sequence);
		this.previousId = request.id();
		this.waiting.put(request.id(), sequence);
		observePeak(nowNanos);
		if (cold(nowNanos) && size() > this.profile.coldStartSlots()) {
			this.counts = new EngineCounts(this.counts.crashes(), this.counts.coldOverloads() + 1,
					this.counts.mostRunningCold(), this.counts.mostRunning(), this.counts.finished());
			crash(nowNanos);
		}
	}

	void cancel(String id) {
		if (useFault(EngineFault.IGNORE_CANCELS)) {
			return;
		}
		Sequence sequence = this.running.remove(id);
		if (sequence == null) {
			sequence = this.waiting.remove(id);
		}
		this.held.remove(id);
		if (sequence != null) {
			sequence.sink().onReset();
		}
	}

	void fault(FaultBody body, long nowNanos) {
		switch (body.fault()) {
			case CRASH -> crash(nowNanos);
			case SILENCE -> silence(nowNanos + TimeUnit.MILLISECONDS.toNanos(body.amount()));
			default -> this.faults.put(body.fault(), body.amount());
		}
	}

	void step(long nowNanos) {
		double seconds = (nowNanos - this.lastStepNanos) / NANOS_PER_SECOND;
		this.lastStepNanos = nowNanos;
		this.loads.addLast(new TimedLoad(nowNanos, currentLoad(nowNanos)));
		long keepNanos = nowNanos - 2 * TimeUnit.MILLISECONDS.toNanos(this.profile.loadLagMillis()) - 1;
		while (this.loads.size() > 1 && this.loads.peekFirst().atNanos() < keepNanos) {
			this.loads.pollFirst();
		}
		if (down(nowNanos) || silent(nowNanos)) {
			return;
		}
		admit();
		prefill(seconds * this.profile.prefillTokensPerSecond());
		decode(seconds * this.profile.decodeTokensPerSecond());
	}

	private boolean fenced(EngineRequest request) {
		boolean old = this.profile.checksFencing() && request.fencingNumber() < this.highestFencingNumber;
		this.highestFencingNumber = Math.max(this.highestFencingNumber, request.fencingNumber());
		return old;
	}

	private void silence(long untilNanos) {
		this.silentUntilNanos = untilNanos;
	}

	private void admit() {
		for (Sequence sequence : this.waiting.values().stream().sorted(ORDER).toList()) {
			long needed = sequence.request().memoryTokens();
			if (this.running.size() >= this.profile.slots() || usedTokens() + needed > this.profile.memoryTokens()) {
				return;
			}
			this.waiting.remove(sequence.request().id());
			this.running.put(sequence.request().id(), sequence);
			this.held.put(sequence.request().id(), needed);
		}
	}

	private void prefill(double tokens) {
		double budget = tokens;
		for (Sequence sequence : this.running.values().stream().filter(Sequence::prefilling).sorted(ORDER).toList()) {
			budget -= sequence.prefill(budget);
		}
	}

	private void decode(double tokens) {
		for (Sequence sequence : new ArrayList<>(this.running.values())) {
			if (!sequence.prefilling() && sequence.decode(tokens)) {
				this.running.remove(sequence.request().id());
				this.held.remove(sequence.request().id());
				sequence.finish();
				this.counts = new EngineCounts(this.counts.crashes(), this.counts.coldOverloads(),
						this.counts.mostRunningCold(), this.counts.mostRunning(), this.counts.finished() + 1);
			}
		}
	}

	private void crash(long nowNanos) {
		List<Sequence> all = new ArrayList<>(this.running.values());
		all.addAll(this.waiting.values());
		this.running.clear();
		this.waiting.clear();
		this.held.clear();
		this.boots++;
		this.downUntilNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(RESTART_MILLIS);
		this.coldUntilNanos = this.downUntilNanos + TimeUnit.MILLISECONDS.toNanos(this.profile.coldStartMillis());
		this.counts = new EngineCounts(this.counts.crashes() + 1, this.counts.coldOverloads(),
				this.counts.mostRunningCold(), this.counts.mostRunning(), this.counts.finished());
		all.forEach((sequence) -> sequence.sink().onReset());
	}

	private void applyFaults(Sequence sequence) {
		if (useFault(EngineFault.CROSS_ANSWERS)) {
			sequence.answerId(this.previousId.isEmpty() ? "other.1" : this.previousId);
		}
		if (useFault(EngineFault.TRUNCATE_ANSWERS)) {
			sequence.truncate();
		}
	}

	private boolean useFault(EngineFault fault) {
		long left = this.faults.getOrDefault(fault, 0L);
		if (left > 0) {
			this.faults.put(fault, left - 1);
		}
		return left > 0;
	}

	private void observePeak(long nowNanos) {
		int mostCold = cold(nowNanos) ? Math.max(this.counts.mostRunningCold(), size()) : this.counts.mostRunningCold();
		this.counts = new EngineCounts(this.counts.crashes(), this.counts.coldOverloads(), mostCold,
				Math.max(this.counts.mostRunning(), size()), this.counts.finished());
	}

	private LoadBody currentLoad(long nowNanos) {
		return new LoadBody(this.profile.name() + "-" + this.boots, cold(nowNanos), this.running.size(),
				this.waiting.size(), usedTokens());
	}

	private boolean cold(long nowNanos) {
		return nowNanos < this.coldUntilNanos;
	}

	private int size() {
		return this.running.size() + this.waiting.size();
	}

	private long usedTokens() {
		return this.held.values().stream().mapToLong(Long::longValue).sum();
	}

}
