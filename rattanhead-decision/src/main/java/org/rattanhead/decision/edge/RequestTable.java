package org.rattanhead.decision.edge;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.rattanhead.core.request.RequestId;
import org.rattanhead.core.request.Work;
import org.rattanhead.core.work.SubmitWork;
import org.rattanhead.decision.DeadlineQueue;
import org.rattanhead.decision.placement.Candidate;

/**
 * The admitted requests: their deadlines, their number by workspace, and the current
 * attempt of each. Owned by one duty.
 */
final class RequestTable {

	private final Map<RequestId, PendingRequest> pending = new HashMap<>();

	private final DeadlineQueue<RequestId> deadlines = new DeadlineQueue<>();

	private final WorkspaceCounts inFlight = new WorkspaceCounts();

	private final OutstandingWork outstanding = new OutstandingWork();

	WorkspaceCounts inFlight() {
		return this.inFlight;
	}

	OutstandingWork outstanding() {
		return this.outstanding;
	}

	boolean empty() {
		return this.pending.isEmpty();
	}

	void admit(Work work) {
		this.inFlight.increment(work.workspace());
		this.deadlines.add(work.attempt().request(), work.deadlineNanos());
	}

	void finish(Work work) {
		RequestId id = work.attempt().request();
		this.deadlines.remove(id);
		this.inFlight.decrement(work.workspace());
		PendingRequest request = this.pending.remove(id);
		if (request != null) {
			this.outstanding.ended(request.upstream(), request.work());
		}
	}

	SendOrder send(Work work, Candidate chosen, Set<String> excluded) {
		String upstream = chosen.upstream().name();
		PendingRequest before = this.pending.put(work.attempt().request(),
				new PendingRequest(work, upstream, chosen.holder(), false, excluded));
		if (before != null) {
			this.outstanding.ended(before.upstream(), before.work());
		}
		this.outstanding.sent(upstream, work);
		return new SendOrder(chosen.holder(), new SubmitWork(upstream, work));
	}

	Optional<PendingRequest> find(RequestId id) {
		return Optional.ofNullable(this.pending.get(id));
	}

	void markAnswerStarted(PendingRequest request) {
		this.pending.put(request.work().attempt().request(), request.withAnswerStarted());
	}

	List<PendingRequest> sentThrough(String holder) {
		return this.pending.values().stream().filter((request) -> request.holder().equals(holder)).toList();
	}

	List<RequestId> expire(long nowNanos) {
		return this.deadlines.expire(nowNanos);
	}

}
