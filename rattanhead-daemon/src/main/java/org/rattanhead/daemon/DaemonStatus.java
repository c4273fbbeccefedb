package org.rattanhead.daemon;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicReference;

import org.rattanhead.core.catalogue.Catalogue;
import org.rattanhead.core.upstream.UpstreamDigest;
import org.rattanhead.decision.membership.Membership;

/**
 * The last state published by the duties, shown by HTTP pages. Decisions never read it.
 */
final class DaemonStatus {

	private final AtomicReference<Catalogue> catalogue = new AtomicReference<>(Catalogue.EMPTY);

	private final AtomicReference<Membership> membership = new AtomicReference<>(Membership.EMPTY);

	private final Map<String, List<UpstreamDigest>> digests = new ConcurrentHashMap<>();

	private volatile boolean draining;

	Catalogue catalogue() {
		return this.catalogue.get();
	}

	void catalogue(Catalogue newCatalogue) {
		this.catalogue.set(newCatalogue);
	}

	Membership membership() {
		return this.membership.get();
	}

	void membership(Membership newMembership) {
		this.membership.set(newMembership);
	}

	void digests(String host, List<UpstreamDigest> newDigests) {
		this.digests.put(host, newDigests);
	}

	void removeDigests(String host) {
		this.digests.remove(host);
	}

	Map<String, List<UpstreamDigest>> digests() {
		return this.digests;
	}

	void startDraining() {
		this.draining = true;
	}

	boolean ready() {
		return !this.draining && this.catalogue.get().offset() != Catalogue.NO_OFFSET
				&& this.membership.get().settled();
	}

}
