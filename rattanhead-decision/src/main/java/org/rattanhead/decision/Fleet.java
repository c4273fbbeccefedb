package org.rattanhead.decision;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.rattanhead.core.catalogue.UpstreamEntry;
import org.rattanhead.core.host.Host;
import org.rattanhead.decision.placement.LeasePlacement;

/**
 * The catalogue combined with the live daemons. Determines which upstreams accept new
 * work and which daemon holds the lease of each.
 */
public final class Fleet {

	/** The fleet before the first catalogue and membership. */
	public static final Fleet EMPTY = new Fleet(CatalogueView.EMPTY, List.of(), Set.of());

	private final CatalogueView view;

	private final List<Host> members;

	private final Set<String> leavingUpstreams;

	private final Map<String, Optional<Host>> holders = new HashMap<>();

	/**
	 * Combines catalogue and members.
	 * @param view the catalogue
	 * @param members the live daemons, this one included
	 * @param leavingUpstreams upstreams that the host list shows as leaving
	 */
	public Fleet(CatalogueView view, List<Host> members, Set<String> leavingUpstreams) {
		this.view = view;
		this.members = List.copyOf(members);
		this.leavingUpstreams = Set.copyOf(leavingUpstreams);
	}

	/**
	 * Returns the catalogue.
	 * @return the catalogue
	 */
	public CatalogueView view() {
		return this.view;
	}

	/**
	 * Returns the live daemons.
	 * @return the daemons, this one included
	 */
	public List<Host> members() {
		return this.members;
	}

	/**
	 * Returns a copy with another catalogue.
	 * @param newView the catalogue
	 * @return the copy
	 */
	public Fleet with(CatalogueView newView) {
		return new Fleet(newView, this.members, this.leavingUpstreams);
	}

	/**
	 * Returns a copy with other members.
	 * @param newMembers the live daemons
	 * @param newLeavingUpstreams upstreams that are leaving
	 * @return the copy
	 */
	public Fleet with(List<Host> newMembers, Set<String> newLeavingUpstreams) {
		return new Fleet(this.view, newMembers, newLeavingUpstreams);
	}

	/**
	 * Finds the daemon that holds the lease of an upstream.
	 * @param upstream the upstream
	 * @return the daemon, empty if none is live in its region
	 */
	public Optional<Host> holder(UpstreamEntry upstream) {
		return this.holders.computeIfAbsent(upstream.name(), (name) -> findHolder(upstream));
	}

	/**
	 * Returns whether an upstream accepts new work.
	 * @param upstream the upstream
	 * @return false if it is leaving or its failure domain is out of service
	 */
	public boolean acceptsWork(UpstreamEntry upstream) {
		return this.view.acceptsWork(upstream.failureDomain()) && !this.leavingUpstreams.contains(upstream.name());
	}

	private Optional<Host> findHolder(UpstreamEntry upstream) {
		String region = this.view.region(upstream.failureDomain());
		return LeasePlacement.holder(upstream, this.members, (domain) -> this.view.region(domain).equals(region));
	}

}
