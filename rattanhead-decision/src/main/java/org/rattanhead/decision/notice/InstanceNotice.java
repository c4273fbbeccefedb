package org.rattanhead.decision.notice;

/**
 * What one incarnation of an instance has said of itself so far.
 *
 * @param incarnation the incarnation
 * @param leaving whether it leaves
 * @param quietUntilNanos until when it wants no requests, on the monotonic clock
 */
record InstanceNotice(long incarnation, boolean leaving, long quietUntilNanos) {

	InstanceNotice leave() {
		return new InstanceNotice(this.incarnation, true, this.quietUntilNanos);
	}

	InstanceNotice quietUntil(long nanos) {
		return new InstanceNotice(this.incarnation, this.leaving, Math.max(this.quietUntilNanos, nanos));
	}

}
