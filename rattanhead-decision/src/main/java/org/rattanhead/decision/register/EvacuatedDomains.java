package org.rattanhead.decision.register;

import java.util.HashSet;
import java.util.Set;

import org.rattanhead.core.Millis;

/**
 * The failure domains that operators have taken out. After the store was restored from an
 * older copy, domains that the copy does not have stay out until the operators have had
 * the time to write again.
 */
public final class EvacuatedDomains {

	/**
	 * How long a domain stays out that a restored store does not have: the time by which
	 * a store in trouble may delay an evacuation.
	 */
	private static final long GRACE_NANOS = Millis.toNanos(5_000);

	private final Set<String> stored = new HashSet<>();

	private final Set<String> kept = new HashSet<>();

	private long keptUntilNanos;

	/**
	 * Takes a domain out.
	 * @param domain the domain
	 */
	public void add(String domain) {
		this.kept.remove(domain);
		this.stored.add(domain);
	}

	/**
	 * Returns a domain to service.
	 * @param domain the domain
	 */
	public void remove(String domain) {
		this.kept.remove(domain);
		this.stored.remove(domain);
	}

	/**
	 * Forgets the stored domains, before all of them are added again.
	 */
	public void clear() {
		this.stored.clear();
	}

	/**
	 * Records that the store was restored from an older copy.
	 * @param nowNanos the time on the monotonic clock
	 */
	public void onStoreRestored(long nowNanos) {
		this.kept.addAll(this.stored);
		this.keptUntilNanos = nowNanos + GRACE_NANOS;
	}

	/**
	 * Returns to service the domains that nobody has written again.
	 * @param nowNanos the time on the monotonic clock
	 */
	public void expire(long nowNanos) {
		if (nowNanos >= this.keptUntilNanos) {
			this.kept.clear();
		}
	}

	/**
	 * Returns the domains that are taken out.
	 * @return the domains
	 */
	public Set<String> domains() {
		Set<String> domains = new HashSet<>(this.stored);
		domains.addAll(this.kept);
		return Set.copyOf(domains);
	}

}
