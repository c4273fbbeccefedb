package org.rattanhead.decision.limit;

import java.util.OptionalDouble;

/**
 * What an incarnation of an instance last said of its limit.
 *
 * @param incarnation the incarnation
 * @param perSecond the requests a second, empty if the limit has ended
 * @param sinceNanos when an answer first said so, on the monotonic clock
 * @param confirmedNanos when an answer to this daemon last said so, on the monotonic
 * clock
 */
record NamedLimit(long incarnation, OptionalDouble perSecond, long sinceNanos, long confirmedNanos) {

	NamedLimit(long incarnation, OptionalDouble perSecond, long sinceNanos) {
		this(incarnation, perSecond, sinceNanos, sinceNanos);
	}

	NamedLimit confirmed(long nowNanos) {
		return new NamedLimit(this.incarnation, this.perSecond, this.sinceNanos, nowNanos);
	}

	boolean allows(double otherPerSecond) {
		return this.perSecond.isEmpty() || otherPerSecond <= this.perSecond.getAsDouble();
	}

}
