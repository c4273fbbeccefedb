package org.rattanhead.decision.notice;

import java.util.Map;

import org.rattanhead.core.forward.UpstreamInstance;
import org.rattanhead.decision.BoundedMap;

/**
 * The notices of instances by id. A notice binds its incarnation and older ones, whatever
 * the store says of them, and ends with a newer one. Owned by one duty.
 */
public final class InstanceNotices {

	private static final int MAX_INSTANCES = 4_096;

	private final Map<String, InstanceNotice> byId = new BoundedMap<>(MAX_INSTANCES);

	/**
	 * Records that an instance leaves.
	 * @param id the id of the instance
	 * @param incarnation the incarnation that said so
	 * @return true if it was not known before
	 */
	public boolean leaves(String id, long incarnation) {
		InstanceNotice known = known(id, incarnation);
		if (known.incarnation() > incarnation || known.leaving()) {
			return false;
		}
		this.byId.put(id, known.leave());
		return true;
	}

	/**
	 * Records that an instance wants no requests for a time.
	 * @param id the id of the instance
	 * @param incarnation the incarnation that said so
	 * @param untilNanos the end of the time, on the monotonic clock
	 * @return true if it extends the time that was known
	 */
	public boolean quiet(String id, long incarnation, long untilNanos) {
		InstanceNotice known = known(id, incarnation);
		if (known.incarnation() > incarnation || untilNanos <= known.quietUntilNanos()) {
			return false;
		}
		this.byId.put(id, known.quietUntil(untilNanos));
		return true;
	}

	/**
	 * Returns whether an instance leaves.
	 * @param instance the instance
	 * @return true if it, or a newer incarnation, said so
	 */
	public boolean leaving(UpstreamInstance instance) {
		InstanceNotice known = this.byId.get(instance.id());
		return known != null && known.leaving() && instance.incarnation() <= known.incarnation();
	}

	/**
	 * Returns until when an instance wants no requests.
	 * @param instance the instance
	 * @return the time on the monotonic clock, long past if it wants requests
	 */
	public long quietUntilNanos(UpstreamInstance instance) {
		InstanceNotice known = this.byId.get(instance.id());
		return (known != null && instance.incarnation() <= known.incarnation()) ? known.quietUntilNanos()
				: Long.MIN_VALUE;
	}

	private InstanceNotice known(String id, long incarnation) {
		InstanceNotice known = this.byId.get(id);
		return (known != null && known.incarnation() >= incarnation) ? known
				: new InstanceNotice(incarnation, false, Long.MIN_VALUE);
	}

}
