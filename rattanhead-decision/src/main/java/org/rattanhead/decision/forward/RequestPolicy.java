package org.rattanhead.decision.forward;

import org.rattanhead.core.forward.Route;
import org.rattanhead.core.forward.ServiceLimits;
import org.rattanhead.decision.fairness.WorkspaceShares;
import org.rattanhead.decision.rank.RequestRank;

/**
 * What the configuration in force determines for a request.
 *
 * @param route the route
 * @param service the service that runs it
 * @param workspace the workspace that sent it, empty if unknown
 * @param rank its rank in the service
 * @param viaPeer whether another daemon passed it on
 */
record RequestPolicy(Route route, ServiceLimits service, String workspace, RequestRank rank, boolean viaPeer) {

	/**
	 * Returns a hash of the workspace for the load entries.
	 * @return the hash, the same on all daemons; {@link WorkspaceShares#UNKNOWN} if the
	 * service has only one rank or the workspace is unknown
	 */
	int workspaceHash() {
		return this.rank.active() ? this.workspace.hashCode() : WorkspaceShares.UNKNOWN;
	}

}
