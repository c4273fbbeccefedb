package org.rattanhead.core.forward;

import java.util.List;
import java.util.Map;

/**
 * A version of the routes, services and keys that the operators publish.
 *
 * @param version the version; a higher one replaces a lower one
 * @param routes the routes
 * @param services the services by name
 * @param keysRequired whether requests need a key
 * @param grants the workspace and priority that each key grants, by key
 * @param maxHeaderBytes the largest header of a request, in bytes
 * @param maxBodyBytes the largest body of a request, in bytes
 */
public record Configuration(long version, List<Route> routes, Map<String, ServiceLimits> services, boolean keysRequired,
		Map<String, WorkspaceGrant> grants, int maxHeaderBytes, long maxBodyBytes) {
}
