package org.rattanhead.decision.holder;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

import org.rattanhead.core.catalogue.UpstreamEntry;
import org.rattanhead.core.request.AttemptId;
import org.rattanhead.core.request.Work;
import org.rattanhead.decision.DeadlineQueue;

/**
 * The lanes by upstream, and the attempts in them with their deadlines. Owned by one
 * duty.
 */
final class LaneTable {

	private final Map<String, UpstreamLane> lanes = new HashMap<>();

	private final Map<AttemptId, String> laneOfAttempt = new HashMap<>();

	private final DeadlineQueue<AttemptId> deadlines = new DeadlineQueue<>();

	private long nextSequence;

	UpstreamLane open(UpstreamEntry upstream) {
		UpstreamLane lane = this.lanes.computeIfAbsent(upstream.name(), (name) -> new UpstreamLane(upstream));
		lane.update(upstream);
		return lane;
	}

	void closeIdleIf(Predicate<UpstreamLane> condition) {
		this.lanes.values().removeIf((lane) -> lane.idle() && condition.test(lane));
	}

	Collection<UpstreamLane> all() {
		return this.lanes.values();
	}

	Optional<UpstreamLane> find(String upstream) {
		return Optional.ofNullable(this.lanes.get(upstream));
	}

	Optional<UpstreamLane> find(AttemptId attempt) {
		return Optional.ofNullable(this.laneOfAttempt.get(attempt)).map(this.lanes::get);
	}

	void enqueue(UpstreamLane lane, String fromHost, Work work) {
		lane.enqueue(new AcceptedWork(fromHost, work, this.nextSequence++));
		this.laneOfAttempt.put(work.attempt(), lane.upstream().name());
		this.deadlines.add(work.attempt(), work.deadlineNanos());
	}

	void removeAttempt(AttemptId attempt) {
		this.laneOfAttempt.remove(attempt);
		this.deadlines.remove(attempt);
	}

	List<AttemptId> expire(long nowNanos) {
		return this.deadlines.expire(nowNanos);
	}

	List<AttemptId> attemptsOf(String host) {
		return this.lanes.values().stream().flatMap((lane) -> lane.attemptsOf(host).stream()).toList();
	}

	boolean empty() {
		return this.laneOfAttempt.isEmpty();
	}

}
