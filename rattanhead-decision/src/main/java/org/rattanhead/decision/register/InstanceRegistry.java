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
 * The registered upstream instances. Entries that are found missing when the store
 * becomes reachable again are kept for a grace period, since live instances register
 * again. After the store was restored from an older copy, what is known is newer than
 * what the copy has: known entries stay as they are, and unknown ones, whose instances
 * may have left since, are withheld until the instance writes again.
 */
public final class InstanceRegistry {

	/**
	 * How long a missing entry is kept after the store becomes reachable again, as
	 * specified by the platform.
	 */
	private static final long RECOVERY_GRACE_NANOS = Millis.toNanos(2_000);

	/**
	 * How long entries of a restored copy are withheld. The store removes those of
	 * instances that are silent for three heartbeat intervals.
	 */
	private static final long RESTORE_NANOS = Millis.toNanos(4_000);

	private final Map<String, UpstreamInstance> instances = new TreeMap<>();

	private final Map<String, UpstreamInstance> withheld = new HashMap<>();

	private final Map<String, Long> removalDueNanos = new HashMap<>();

	private boolean storeUnreachable;

	private boolean storeReadBefore;

	private long graceEndNanos;

	private boolean restored;

	private long restoreEndNanos;

	/**
	 * Adds or updates an entry.
	 * @param instance the instance
	 */
	public void put(UpstreamInstance instance) {
		this.withheld.remove(instance.id());
		this.removalDueNanos.remove(instance.id());
		this.instances.put(instance.id(), instance);
	}

	/**
	 * Returns whether an entry is registered as given and not about to be removed. Never
	 * true for some time after a restore, since daemons may know different entries then.
	 * @param instance the instance
	 * @param nowNanos the time on the monotonic clock
	 * @return true if putting it would change nothing, here and on other daemons
	 */
	public boolean isCurrent(UpstreamInstance instance, long nowNanos) {
		return !(this.restored && nowNanos < this.restoreEndNanos) && instance.equals(this.instances.get(instance.id()))
				&& !this.removalDueNanos.containsKey(instance.id());
	}

	/**
	 * Removes an entry. While the store is unreachable or the grace period runs, the
	 * entry becomes due at the end of the latest grace period, or now if that has passed,
	 * and {@link #expire} removes it once it is due and the store is reachable. Otherwise
	 * it is removed at once.
	 * @param id the id of the instance
	 * @param nowNanos the time on the monotonic clock
	 */
	public void remove(String id, long nowNanos) {
		this.withheld.remove(id);
		if (this.storeUnreachable || nowNanos < this.graceEndNanos) {
			this.removalDueNanos.putIfAbsent(id, Math.max(this.graceEndNanos, nowNanos));
		}
		else {
			this.removalDueNanos.remove(id);
			this.instances.remove(id);
		}
	}

	/**
	 * Adds or updates the given entries and removes all others, which may stay for the
	 * grace period.
	 * @param storedInstances the entries read from the store
	 * @param nowNanos the time on the monotonic clock
	 */
	public void replace(List<UpstreamInstance> storedInstances, long nowNanos) {
		boolean copied = this.restored && nowNanos < this.restoreEndNanos;
		Set<String> missingIds = new HashSet<>(this.instances.keySet());
		for (UpstreamInstance instance : storedInstances) {
			missingIds.remove(instance.id());
			if (copied) {
				putCopied(instance);
			}
			else {
				put(instance);
			}
		}
		missingIds.forEach((id) -> remove(id, nowNanos));
	}

	private void putCopied(UpstreamInstance instance) {
		UpstreamInstance known = this.instances.get(instance.id());
		if (known == null) {
			this.withheld.put(instance.id(), instance);
		}
		else if (instance.incarnation() > known.incarnation()) {
			put(instance);
		}
	}

	/**
	 * Records that the store cannot be read. Has no effect before the first successful
	 * read.
	 */
	public void onStoreUnreachable() {
		this.storeUnreachable = this.storeReadBefore;
	}

	/**
	 * Records that the store was read.
	 * @param nowNanos the time on the monotonic clock
	 */
	public void onStoreRead(long nowNanos) {
		if (this.storeUnreachable) {
			this.storeUnreachable = false;
			this.graceEndNanos = nowNanos + RECOVERY_GRACE_NANOS;
		}
		this.storeReadBefore = true;
	}

	/**
	 * Records that the store was restored from an older copy.
	 * @param nowNanos the time on the monotonic clock
	 */
	public void onStoreRestored(long nowNanos) {
		this.restored = true;
		this.graceEndNanos = nowNanos + RECOVERY_GRACE_NANOS;
		this.restoreEndNanos = nowNanos + RESTORE_NANOS;
	}

	/**
	 * Removes missing entries whose grace period is over, and accepts those that were
	 * withheld and are still stored.
	 * @param nowNanos the time on the monotonic clock
	 */
	public void expire(long nowNanos) {
		if (this.storeUnreachable) {
			return;
		}
		if (this.restored && nowNanos >= this.restoreEndNanos) {
			this.restored = false;
			List.copyOf(this.withheld.values()).forEach(this::put);
		}
		for (Map.Entry<String, Long> removal : List.copyOf(this.removalDueNanos.entrySet())) {
			if (nowNanos >= removal.getValue()) {
				this.removalDueNanos.remove(removal.getKey());
				this.instances.remove(removal.getKey());
			}
		}
	}

	/**
	 * Returns the instances, including missing ones within their grace period.
	 * @return the instances
	 */
	public List<UpstreamInstance> instances() {
		return new ArrayList<>(this.instances.values());
	}

}
