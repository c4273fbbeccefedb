package org.rattanhead.decision.edge;

import org.rattanhead.core.request.CallerRequest;
import org.rattanhead.decision.Fleet;

/**
 * What admission rules look at.
 *
 * @param request the request
 * @param fleet catalogue and members
 * @param shuttingDown whether the daemon shuts down
 * @param inFlight requests in flight by workspace
 */
record AdmissionContext(CallerRequest request, Fleet fleet, boolean shuttingDown, WorkspaceCounts inFlight) {
}
