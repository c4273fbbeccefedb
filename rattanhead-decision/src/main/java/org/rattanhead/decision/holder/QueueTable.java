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
 * The queues by upstream, and the attempts in them with their deadlines. Owned by one
 * duty.
 */
final class QueueTable {

	private final Map<String, UpstreamQueue> queues = new HashMap<>();

	private final Map<AttemptId, String> upstreamOfAttempt = new HashMap<>();

	private final DeadlineQueue<AttemptId> deadlines = new DeadlineQueue<>();

	private long nextSequence;

	UpstreamQueue open(UpstreamEntry upstream) {
		UpstreamQueue queue = this.queues.computeIfAbsent(upstream.name(), (name) -> new UpstreamQueue(upstream));
		queue.update(upstream);
		return queue;
	}

	void closeIdleIf(Predicate<UpstreamQueue> condition) {
		this.queues.values().removeIf((queue) -> queue.idle() && condition.test(queue));
	}

	Collection<UpstreamQueue> all() {
		return this.queues.values();
	}

	Optional<UpstreamQueue> find(String upstream) {
		return Optional.ofNullable(this.queues.get(upstream));
	}

	Optional<UpstreamQueue> find(AttemptId attempt) {
		return Optional.ofNullable(this.upstreamOfAttempt.get(attempt)).map(this.queues::get);
	}

	void enqueue(UpstreamQueue queue, String fromHost, Work work) {
		queue.enqueue(new AcceptedWork(fromHost, work, this.nextSequence++));
		this.upstreamOfAttempt.put(work.attempt(), queue.upstream().name());
		this.deadlines.add(work.attempt(), work.deadlineNanos());
	}

	void removeAttempt(AttemptId attempt) {
		this.upstreamOfAttempt.remove(attempt);
		this.deadlines.remove(attempt);
	}

	List<AttemptId> expire(long nowNanos) {
		return this.deadlines.expire(nowNanos);
	}

	List<AttemptId> attemptsFromHost(String host) {
		return this.queues.values().stream().flatMap((queue) -> queue.attemptsFromHost(host).stream()).toList();
	}

	boolean empty() {
		return this.upstreamOfAttempt.isEmpty();
	}

}
