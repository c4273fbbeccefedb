package org.rattanhead.decision.forward;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import org.rattanhead.core.forward.RouteKind;
import org.rattanhead.core.problem.Execution;
import org.rattanhead.core.request.AttemptId;
import org.rattanhead.core.request.RequestId;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Reference model of the executions and reservations on instances and the replies to
 * callers. Checks each command of a decider against it.
 */
final class ForwardOracle {

	private final Map<RequestId, RouteKind> kinds = new HashMap<>();

	private final Map<RequestId, Integer> mayHaveRun = new HashMap<>();

	private final Set<RequestId> ended = new HashSet<>();

	private final Set<String> reserved = new HashSet<>();

	private Set<String> unavailableInstances = Set.of();

	private int retries;

	void submitted(RequestId id, RouteKind kind) {
		this.kinds.put(id, kind);
	}

	void unavailable(Set<String> instances) {
		this.unavailableInstances = instances;
	}

	void refused(Ticket ticket) {
		this.reserved.remove(ticket.name());
	}

	void didNotRun(AttemptId attempt) {
		this.mayHaveRun.merge(attempt.request(), -1, Integer::sum);
	}

	void check(ForwardCommand command) {
		if (command instanceof CallInstance call) {
			called(call);
		}
		else if (command instanceof RefuseRequest refusal) {
			ended(refusal.request());
			if (refusal.problem().execution() == Execution.NOT_RUN) {
				assertThat(this.mayHaveRun.getOrDefault(refusal.request(), 0))
					.as("possible executions of %s, refused as not run", refusal.request())
					.isZero();
			}
		}
		else if (command instanceof FinishReply finish) {
			ended(finish.request());
		}
		else if (command instanceof AbortReply abort) {
			ended(abort.request());
		}
		else if (command instanceof ReserveTicket reserve) {
			this.reserved.add(reserve.ticket().name());
		}
		else if (command instanceof ReleaseTicket release) {
			this.reserved.remove(release.ticket().name());
		}
	}

	Set<String> reserved() {
		return this.reserved;
	}

	Set<RequestId> open() {
		Set<RequestId> open = new HashSet<>(this.kinds.keySet());
		open.removeAll(this.ended);
		return open;
	}

	int retries() {
		return this.retries;
	}

	void disconnected(RequestId id) {
		this.ended.add(id);
	}

	private void called(CallInstance call) {
		RequestId id = call.call().attempt().request();
		assertThat(this.ended).as("ended requests, when a call is made").doesNotContain(id);
		assertThat(this.unavailableInstances).as("instances that accept no work, when a call is made")
			.doesNotContain(call.call().instance().id());
		int before = this.mayHaveRun.merge(id, 1, Integer::sum) - 1;
		this.retries += (call.call().attempt().number() > 1) ? 1 : 0;
		if (this.kinds.get(id) == RouteKind.AT_MOST_ONCE) {
			assertThat(before).as("possible executions of %s before another call", id).isZero();
		}
		assertThat(before).as("instances that may have run %s", id).isLessThan(2);
	}

	private void ended(RequestId id) {
		assertThat(this.ended.add(id)).as("first end of %s", id).isTrue();
	}

}
