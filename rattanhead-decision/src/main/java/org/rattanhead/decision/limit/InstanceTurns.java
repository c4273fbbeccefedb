package org.rattanhead.decision.limit;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.function.LongPredicate;
import java.util.random.RandomGenerator;
import java.util.stream.DoubleStream;

import org.rattanhead.core.forward.LimitReport;
import org.rattanhead.core.forward.ServiceLimits;
import org.rattanhead.core.forward.UpstreamInstance;

/**
 * Decides when this daemon may start requests on instances with a limit, from the starts
 * of all daemons that it knows of. Owned by one duty.
 */
public final class InstanceTurns {

	/** Requests are sent now and then also at a limit of 0, to learn of its end. */
	private static final double MIN_PER_SECOND = 0.2;

	private final InstanceLimits limits = new InstanceLimits();

	private final ColdInstances cold = new ColdInstances();

	private final Map<String, RateDebt> debts = new HashMap<>();

	private final RandomGenerator random;

	private final LongPredicate settled;

	private FleetShare share = FleetShare.ALONE;

	/**
	 * Creates an instance without limits.
	 * @param random the seeded random generator
	 * @param settled whether this daemon has had time to learn what others started, by
	 * the time on the monotonic clock
	 */
	public InstanceTurns(RandomGenerator random, LongPredicate settled) {
		this.random = random;
		this.settled = settled;
	}

	/**
	 * Changes the part of the limits that may be used.
	 * @param newShare the part
	 */
	public void share(FleetShare newShare) {
		this.share = newShare;
	}

	/**
	 * Returns the part of the limits that may be used.
	 * @return the part
	 */
	public FleetShare share() {
		return this.share;
	}

	/**
	 * Records the limit of an answer of any age.
	 * @param id the id of the instance
	 * @param incarnation the incarnation that sent the answer
	 * @param perSecond the limit
	 * @param nowNanos the time on the monotonic clock
	 * @return true if the limit in force changed
	 */
	public boolean named(String id, long incarnation, double perSecond, long nowNanos) {
		return this.limits.named(id, incarnation, perSecond, nowNanos);
	}

	/**
	 * Records what the answer to a current attempt says.
	 * @param instance the instance that sent the answer
	 * @param perSecond the limit, empty if the answer names none
	 * @param sentNanos when the call was sent, on the monotonic clock
	 * @param nowNanos the time on the monotonic clock
	 * @return true if the limit in force changed
	 */
	public boolean answered(UpstreamInstance instance, OptionalDouble perSecond, long sentNanos, long nowNanos) {
		return this.limits.answered(instance.id(), instance.incarnation(), perSecond, sentNanos, nowNanos);
	}

	/**
	 * Records what another daemon knows.
	 * @param report the report
	 * @param nowNanos the time on the monotonic clock
	 * @return true if the limit in force changed
	 */
	public boolean reported(LimitReport report, long nowNanos) {
		return this.limits.reported(report, nowNanos);
	}

	/**
	 * Returns what to report to other daemons of an instance.
	 * @param instance the instance
	 * @param nowNanos the time on the monotonic clock
	 * @return the report, empty if the instance never named a limit
	 */
	public Optional<LimitReport> report(UpstreamInstance instance, long nowNanos) {
		return this.limits.report(instance, nowNanos);
	}

	/**
	 * Changes what cold instances sustain.
	 * @param services the services by name
	 */
	public void configure(Map<String, ServiceLimits> services) {
		this.cold.configure(services);
	}

	/**
	 * Records an instance that was registered or changed, and may be cold.
	 * @param instance the instance
	 * @param started whether it is a new incarnation
	 * @param nowNanos the time on the monotonic clock
	 */
	public void update(UpstreamInstance instance, boolean started, long nowNanos) {
		this.cold.update(instance, started, nowNanos);
	}

	/**
	 * Removes the instances that are no longer registered.
	 * @param ids the ids of those that are
	 */
	public void retain(Set<String> ids) {
		this.debts.keySet().retainAll(ids);
		this.cold.retain(ids);
	}

	/**
	 * Counts a request that any daemon started.
	 * @param instance the instance
	 * @param nowNanos the time on the monotonic clock
	 */
	public void started(UpstreamInstance instance, long nowNanos) {
		limit(instance, nowNanos).ifPresent((limit) -> advanced(instance, limit, nowNanos).started(limit));
	}

	/**
	 * Returns whether an instance has a limit, by its word or because it is cold.
	 * @param instance the instance
	 * @param nowNanos the time on the monotonic clock
	 * @return true if it has
	 */
	public boolean limited(UpstreamInstance instance, long nowNanos) {
		return limit(instance, nowNanos).isPresent();
	}

	/**
	 * Returns whether this daemon may start a request now.
	 * @param instance the instance
	 * @param nowNanos the time on the monotonic clock
	 * @return false if it has to wait for its turn
	 */
	public boolean due(UpstreamInstance instance, long nowNanos) {
		return turn(instance, nowNanos).filter((turn) -> turn.waitMillis() > 0).isEmpty();
	}

	/**
	 * Returns when this daemon may start the next request.
	 * @param instance the instance
	 * @param nowNanos the time on the monotonic clock
	 * @return the turn, empty if the instance has no limit
	 */
	public Optional<Turn> turn(UpstreamInstance instance, long nowNanos) {
		OptionalDouble limit = limit(instance, nowNanos);
		if (limit.isEmpty()) {
			return Optional.empty();
		}
		RateDebt debt = advanced(instance, limit.getAsDouble(), nowNanos);
		double perSecond = perSecond(limit.getAsDouble(), nowNanos);
		return Optional.of(new Turn(debt.waitMillis(perSecond), perSecond, debt.startsPerSecond()));
	}

	private OptionalDouble limit(UpstreamInstance instance, long nowNanos) {
		OptionalDouble named = this.limits.perSecond(instance);
		OptionalDouble sustained = this.cold.perSecond(instance, nowNanos);
		return DoubleStream.concat(named.stream(), sustained.stream())
			.map((perSecond) -> Math.max(MIN_PER_SECOND, perSecond))
			.min();
	}

	private double perSecond(double limit, long nowNanos) {
		return limit * this.share.part(this.settled.test(nowNanos));
	}

	private RateDebt advanced(UpstreamInstance instance, double limit, long nowNanos) {
		RateDebt debt = this.debts.computeIfAbsent(instance.id(), (id) -> new RateDebt(this.random, limit, nowNanos));
		debt.advance(perSecond(limit, nowNanos), nowNanos);
		return debt;
	}

}
