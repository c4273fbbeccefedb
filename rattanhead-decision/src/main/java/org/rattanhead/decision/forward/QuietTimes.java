package org.rattanhead.decision.forward;

import java.util.OptionalLong;

import org.rattanhead.core.Millis;
import org.rattanhead.core.forward.ServiceLimits;

/**
 * The times in which instances want no requests.
 */
final class QuietTimes {

	private QuietTimes() {
	}

	/**
	 * Returns how long all instances of a service that stay want no requests.
	 * @param fleet the instances
	 * @param service the service
	 * @param nowNanos the time on the monotonic clock
	 * @return the time in milliseconds until the first of them accepts work, empty if one
	 * accepts work or none stays
	 */
	static OptionalLong millis(UpstreamFleet fleet, ServiceLimits service, long nowNanos) {
		OptionalLong untilNanos = fleet.staying(service)
			.stream()
			.mapToLong((load) -> fleet.notices().quietUntilNanos(load.instance()))
			.min();
		return (untilNanos.isEmpty() || untilNanos.getAsLong() <= nowNanos) ? OptionalLong.empty()
				: OptionalLong.of(Math.max(1, Millis.ofNanos(untilNanos.getAsLong() - nowNanos)));
	}

}
