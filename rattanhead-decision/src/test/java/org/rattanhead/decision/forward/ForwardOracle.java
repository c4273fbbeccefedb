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

	private final Map<RequestId, RouteKind> routeKinds = new HashMap<>();

	private final Map<RequestId, Integer> possibleExecutions = new HashMap<>();

	private final Set<RequestId> endedRequests = new HashSet<>();

	private final Set<String> reservedTickets = new HashSet<>();

	private Set<String> unavailableInstances = Set.of();

	private int retries;

	void submitted(RequestId id, RouteKind kind) {
		this.routeKinds.put(id, kind);
	}

	void setUnavailableInstances(Set<String> instances) {
		this.unavailableInstances = instances;
	}

	void ticketRefused(Ticket ticket) {
		this.reservedTickets.remove(ticket.name());
	}

	void didNotRun(AttemptId attempt) {
		this.possibleExecutions.merge(attempt.request(), -1, Integer::sum);
	}

	void check(ForwardCommand command) {
		if (command instanceof CallInstance call) {
			called(call);
		}
		else if (command instanceof RefuseRequest refusal) {
			recordEnd(refusal.request());
			if (refusal.problem().execution() == Execution.NOT_RUN) {
				assertThat(this.possibleExecutions.getOrDefault(refusal.request(), 0))
					.as("possible executions of %s, refused as not run", refusal.request())
					.isZero();
			}
		}
		else if (command instanceof FinishReply finish) {
			recordEnd(finish.request());
		}
		else if (command instanceof AbortReply abort) {
			recordEnd(abort.request());
		}
		else if (command instanceof ReserveTicket reserve) {
			this.reservedTickets.add(reserve.ticket().name());
		}
		else if (command instanceof ReleaseTicket release) {
			this.reservedTickets.remove(release.ticket().name());
		}
	}

	Set<String> reservedTickets() {
		return this.reservedTickets;
	}

	Set<RequestId> open() {
		Set<RequestId> open = new HashSet<>(this.routeKinds.keySet());
		open.removeAll(this.endedRequests);
		return open;
	}

	int retries() {
		return this.retries;
	}

	void disconnected(RequestId id) {
		this.endedRequests.add(id);
	}

	private void called(CallInstance call) {
		RequestId id = call.call().attempt().request();
		assertThat(this.endedRequests).as("ended requests, when a call is made").doesNotContain(id);
		assertThat(this.unavailableInstances).as("instances that accept no work, when a call is made")
			.doesNotContain(call.call().instance().id());
		int before = this.possibleExecutions.merge(id, 1, Integer::sum) - 1;
		this.retries += (call.call().attempt().number() > 1) ? 1 : 0;
		if (this.routeKinds.get(id) == RouteKind.AT_MOST_ONCE) {
			assertThat(before).as("possible executions of %s before another call", id).isZero();
		}
		assertThat(before).as("instances that may have run %s", id).isLessThan(2);
	}

	private void recordEnd(RequestId id) {
		assertThat(this.endedRequests.add(id)).as("first end of %s", id).isTrue();
	}

}
