package org.rattanhead.decision.limit;

import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;

import org.rattanhead.core.Millis;
import org.rattanhead.core.forward.LimitReport;
import org.rattanhead.core.forward.UpstreamInstance;
import org.rattanhead.decision.BoundedMap;

/**
 * The limits that instances have named, by id. A limit binds its incarnation. Answers on
 * different connections overtake each other: a lower limit takes effect at once, a higher
 * one or its end only by an answer that is newer for certain. Owned by one duty.
 */
final class InstanceLimits {

	private static final int MAX_INSTANCES = 4_096;

	private final Map<String, NamedLimit> byId = new BoundedMap<>(MAX_INSTANCES);

	/**
	 * Records the limit of an answer of any age.
	 * @param id the id of the instance
	 * @param incarnation the incarnation that sent the answer
	 * @param perSecond the limit
	 * @param nowNanos the time on the monotonic clock
	 * @return true if the limit in force changed
	 */
	boolean named(String id, long incarnation, double perSecond, long nowNanos) {
		NamedLimit known = this.byId.get(id);
		boolean comparable = known != null && known.incarnation() >= incarnation;
		if (comparable && (known.incarnation() > incarnation || !known.allows(perSecond))) {
			return false;
		}
		OptionalDouble limit = OptionalDouble.of(perSecond);
		boolean changed = !comparable || !known.perSecond().equals(limit);
		this.byId.put(id, changed ? new NamedLimit(incarnation, limit, nowNanos) : known.confirmed(nowNanos));
		return changed;
	}

	/**
	 * Records what the answer to a current attempt says.
	 * @param id the id of the instance
	 * @param incarnation the incarnation that sent the answer
	 * @param perSecond the limit, empty if the answer names none
	 * @param sentNanos when the call was sent, on the monotonic clock
	 * @param nowNanos the time on the monotonic clock
	 * @return true if the limit in force changed
	 */
	boolean answered(String id, long incarnation, OptionalDouble perSecond, long sentNanos, long nowNanos) {
		if (perSecond.isPresent() && named(id, incarnation, perSecond.getAsDouble(), nowNanos)) {
			return true;
		}
		NamedLimit known = this.byId.get(id);
		if (known == null || known.incarnation() != incarnation || known.perSecond().equals(perSecond)
				|| sentNanos <= known.confirmedNanos()) {
			return false;
		}
		this.byId.put(id, new NamedLimit(incarnation, perSecond, nowNanos));
		return true;
	}

	/**
	 * Records what another daemon knows. The newer statement is kept.
	 * @param report the report
	 * @param nowNanos the time on the monotonic clock
	 * @return true if the limit in force changed
	 */
	boolean reported(LimitReport report, long nowNanos) {
		NamedLimit reported = new NamedLimit(report.incarnation(), report.perSecond(),
				nowNanos - Millis.toNanos(report.ageMillis()));
		NamedLimit known = this.byId.get(report.instance());
		if (known == null || known.incarnation() < reported.incarnation()) {
			this.byId.put(report.instance(), reported);
			return reported.perSecond().isPresent();
		}
		// The time of an equal statement is kept; it would drift with each exchange.
		if (known.incarnation() > reported.incarnation() || known.perSecond().equals(reported.perSecond())
				|| reported.sinceNanos() <= known.sinceNanos()) {
			return false;
		}
		this.byId.put(report.instance(), reported);
		return true;
	}

	OptionalDouble perSecond(UpstreamInstance instance) {
		return find(instance).map(NamedLimit::perSecond).orElse(OptionalDouble.empty());
	}

	/**
	 * Returns what to report to other daemons of an instance. An ended limit is reported
	 * too, since others may not know of its end.
	 * @param instance the instance
	 * @param nowNanos the time on the monotonic clock
	 * @return the report, empty if the instance never named a limit
	 */
	Optional<LimitReport> report(UpstreamInstance instance, long nowNanos) {
		return find(instance).map((known) -> new LimitReport(instance.id(), known.incarnation(), known.perSecond(),
				Millis.ofNanos(nowNanos - known.sinceNanos())));
	}

	private Optional<NamedLimit> find(UpstreamInstance instance) {
		return Optional.ofNullable(this.byId.get(instance.id()))
			.filter((known) -> known.incarnation() == instance.incarnation());
	}

}
