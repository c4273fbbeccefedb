package org.rattanhead.decision.register;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import org.rattanhead.core.Millis;
import org.rattanhead.core.forward.UpstreamInstance;

/**
 * The registered instances. Entries that vanish while the store was out of reach are kept
 * for a short time after its return, since living instances register again.
 */
public final class InstanceRegister {

	/**
	 * How long after the return of the store a vanished entry is kept, from the
	 * platform's pages.
	 */
	private static final long RETURN_GRACE_NANOS = Millis.toNanos(2_000);

	private final Map<String, UpstreamInstance> instances = new TreeMap<>();

	private final Map<String, Long> vanishedUntilNanos = new HashMap<>();

	private boolean lost;

	private boolean everRead;

	private long graceUntilNanos;

	/**
	 * Takes a new or changed entry.
	 * @param instance the instance
	 */
	public void put(UpstreamInstance instance) {
		this.vanishedUntilNanos.remove(instance.id());
		this.instances.put(instance.id(), instance);
	}

	/**
	 * Takes the removal of an entry.
	 * @param id the id of the instance
	 * @param nowNanos the time on the monotonic clock
	 */
	public void remove(String id, long nowNanos) {
		if (this.lost || nowNanos < this.graceUntilNanos) {
			this.vanishedUntilNanos.putIfAbsent(id, Math.max(this.graceUntilNanos, nowNanos));
		}
		else {
			this.vanishedUntilNanos.remove(id);
			this.instances.remove(id);
		}
	}

	/**
	 * Takes all entries at once.
	 * @param all the entries
	 * @param nowNanos the time on the monotonic clock
	 */
	public void replace(List<UpstreamInstance> all, long nowNanos) {
		Set<String> missing = new HashSet<>(this.instances.keySet());
		for (UpstreamInstance instance : all) {
			missing.remove(instance.id());
			put(instance);
		}
		missing.forEach((id) -> remove(id, nowNanos));
	}

	/**
	 * Notes that the store cannot be read.
	 */
	public void lost() {
		this.lost = this.everRead;
	}

	/**
	 * Notes that the store was read.
	 * @param nowNanos the time on the monotonic clock
	 */
	public void read(long nowNanos) {
		if (this.lost) {
			this.lost = false;
			this.graceUntilNanos = nowNanos + RETURN_GRACE_NANOS;
		}
		this.everRead = true;
	}

	/**
	 * Drops vanished entries whose time is over.
	 * @param nowNanos the time on the monotonic clock
	 */
	public void expire(long nowNanos) {
		if (this.lost) {
			return;
		}
		for (Map.Entry<String, Long> vanished : List.copyOf(this.vanishedUntilNanos.entrySet())) {
			if (nowNanos >= vanished.getValue()) {
				this.vanishedUntilNanos.remove(vanished.getKey());
				this.instances.remove(vanished.getKey());
			}
		}
	}

	/**
	 * Lists the instances, vanished ones in their grace included.
	 * @return the instances
	 */
	public List<UpstreamInstance> instances() {
		return new ArrayList<>(this.instances.values());
	}

}
