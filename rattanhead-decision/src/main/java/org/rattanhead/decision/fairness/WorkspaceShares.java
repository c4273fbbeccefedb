package org.rattanhead.decision.fairness;

import java.util.HashMap;
import java.util.Map;

/**
 * The slots of a service that each workspace uses, and the share that is fair for each.
 * All workspaces have equal weight. What a workspace leaves unused of its share is lent
 * to those that use more.
 */
public final class WorkspaceShares {

	/** The hash of work whose workspace is unknown; it has no share. */
	public static final int UNKNOWN = 0;

	private final Map<Integer, Integer> usage = new HashMap<>();

	private int total;

	/**
	 * Adds a slot in use.
	 * @param workspaceHash the hash of the workspace that uses it
	 */
	public void add(int workspaceHash) {
		if (workspaceHash != UNKNOWN) {
			this.usage.merge(workspaceHash, 1, Integer::sum);
			this.total++;
		}
	}

	/**
	 * Returns whether a workspace uses more than its share.
	 * @param workspaceHash the hash of the workspace
	 * @return true if it does
	 */
	public boolean exceeds(int workspaceHash) {
		int used = this.usage.getOrDefault(workspaceHash, 0);
		if (used == 0) {
			return false;
		}
		double equalShare = this.total / (double) this.usage.size();
		int left = this.total;
		int borrowers = 0;
		for (int slots : this.usage.values()) {
			left -= (slots <= equalShare) ? slots : 0;
			borrowers += (slots > equalShare) ? 1 : 0;
		}
		// A single borrower uses all that is lent, and yields nevertheless.
		return used > equalShare && used >= left / (double) borrowers;
	}

}
