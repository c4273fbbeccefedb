package org.rattanhead.decision.limit;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Set;

import org.rattanhead.core.Millis;
import org.rattanhead.core.forward.ServiceLimits;
import org.rattanhead.core.forward.UpstreamInstance;

/**
 * The instances that are cold, and the requests a second that they sustain until they are
 * warm. Owned by one duty.
 */
final class ColdInstances {

	private final Map<String, Long> untilNanosById = new HashMap<>();

	private Map<String, ServiceLimits> services = Map.of();

	void configure(Map<String, ServiceLimits> newServices) {
		this.services = newServices;
	}

	/**
	 * Records an instance that was registered or changed.
	 * @param instance the instance
	 * @param started whether it is a new incarnation
	 * @param nowNanos the time on the monotonic clock
	 */
	void update(UpstreamInstance instance, boolean started, long nowNanos) {
		if (instance.coldRemainingMillis() > 0) {
			this.untilNanosById.put(instance.id(), nowNanos + Millis.toNanos(instance.coldRemainingMillis()));
		}
		else if (started) {
			this.untilNanosById.remove(instance.id());
		}
	}

	void retain(Set<String> ids) {
		this.untilNanosById.keySet().retainAll(ids);
	}

	OptionalDouble perSecond(UpstreamInstance instance, long nowNanos) {
		Long untilNanos = this.untilNanosById.get(instance.id());
		ServiceLimits limits = this.services.get(instance.service());
		return (untilNanos != null && nowNanos < untilNanos && limits != null && limits.coldPerSecond() > 0)
				? OptionalDouble.of(limits.coldPerSecond()) : OptionalDouble.empty();
	}

}
