package org.rattanhead.decision.edge;

import org.rattanhead.core.request.CallerRequest;
import org.rattanhead.decision.Fleet;

/**
 * The input of the admission rules.
 *
 * @param request the request
 * @param fleet the catalogue and the members
 * @param shuttingDown whether the daemon is shutting down
 * @param inFlight the number of requests in flight by workspace
 */
record AdmissionContext(CallerRequest request, Fleet fleet, boolean shuttingDown, WorkspaceCounts inFlight) {
}
