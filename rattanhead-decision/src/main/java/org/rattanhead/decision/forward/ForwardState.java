package org.rattanhead.decision.forward;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.random.RandomGenerator;

import org.rattanhead.core.Millis;
import org.rattanhead.core.request.AttemptId;
import org.rattanhead.core.request.RequestId;
import org.rattanhead.decision.crash.CrashSuspects;

/**
 * The state of a {@link ForwardDecider}, owned by one duty.
 */
final class ForwardState {

	private final String self;

	private final RandomGenerator random;

	private final UpstreamFleet fleet;

	private final RetryBudget budget;

	private final CrashSuspects suspects = new CrashSuspects();

	private final Set<Long> storedSuspects = new HashSet<>();

	private final TicketRegistry tickets;

	private final ReplyMemory replyMemory;

	private final ReachRules reach;

	private final Map<RequestId, Forwarding> requests = new LinkedHashMap<>();

	private RouteTable routes;

	private final int refuseFrom;

	private int fleetDaemons = 1;

	private boolean refusesNew;

	private OptionalLong shutdownNanos = OptionalLong.empty();

	ForwardState(String self, ForwardLimits limits, long maxReplyBytes, RandomGenerator random) {
		this.replyMemory = new ReplyMemory(maxReplyBytes);
		this.self = self;
		this.random = random;
		this.fleet = new UpstreamFleet(self, limits.evenLoadFrom(), random);
		this.refuseFrom = limits.refuseFrom();
		this.budget = new RetryBudget(limits);
		this.tickets = new TicketRegistry(limits.maxHoldMillis());
		this.reach = new ReachRules(this);
	}

	String self() {
		return this.self;
	}

	RandomGenerator random() {
		return this.random;
	}

	UpstreamFleet fleet() {
		return this.fleet;
	}

	RetryBudget budget() {
		return this.budget;
	}

	CrashSuspects suspects() {
		return this.suspects;
	}

	/**
	 * Returns the suspects that have a record in the store.
	 * @return the suspects, to be changed by the owner of the state
	 */
	Set<Long> storedSuspects() {
		return this.storedSuspects;
	}

	ReachRules reach() {
		return this.reach;
	}

	TicketRegistry tickets() {
		return this.tickets;
	}

	Optional<RouteTable> routes() {
		return Optional.ofNullable(this.routes);
	}

	void routes(RouteTable newRoutes) {
		this.routes = newRoutes;
	}

	void fleetDaemons(int newDaemons) {
		this.fleetDaemons = newDaemons;
	}

	/**
	 * Returns whether requests are refused for lack of capacity.
	 * @return false in a small fleet
	 */
	boolean refusesForCapacity() {
		return this.fleetDaemons >= this.refuseFrom;
	}

	boolean refusesNew() {
		return this.refusesNew;
	}

	void refuseNew() {
		this.refusesNew = true;
	}

	void shutdown(long endNanos) {
		this.shutdownNanos = OptionalLong.of(endNanos);
	}

	/**
	 * Returns how long the daemon still runs.
	 * @param nowNanos the time on the monotonic clock
	 * @return the time in milliseconds, empty if no shutdown has started
	 */
	OptionalLong remainingMillis(long nowNanos) {
		return this.shutdownNanos.isEmpty() ? OptionalLong.empty()
				: OptionalLong.of(Millis.ofNanos(this.shutdownNanos.getAsLong() - nowNanos));
	}

	Optional<Forwarding> find(RequestId id) {
		return Optional.ofNullable(this.requests.get(id));
	}

	/**
	 * Finds the request whose current attempt is the given one.
	 * @param attempt the attempt
	 * @return the request, empty if the attempt is no longer current
	 */
	Optional<Forwarding> current(AttemptId attempt) {
		return find(attempt.request()).filter((forwarding) -> attempt.equals(forwarding.attempt()));
	}

	void add(Forwarding forwarding) {
		this.requests.put(forwarding.request().id(), forwarding);
		forwarding.relay().countIn(this.replyMemory);
	}

	void remove(Forwarding forwarding) {
		this.requests.remove(forwarding.request().id());
		forwarding.relay().release();
	}

	List<Forwarding> all() {
		return List.copyOf(this.requests.values());
	}

	boolean idle() {
		return this.requests.isEmpty() && this.tickets.empty();
	}

}
