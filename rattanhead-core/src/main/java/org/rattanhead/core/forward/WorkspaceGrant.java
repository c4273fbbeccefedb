package org.rattanhead.core.forward;

/**
 * The workspace and priority that a key grants.
 *
 * @param workspace the workspace that holds the key
 * @param rank the priority of its requests, negative to use that of the route
 */
public record WorkspaceGrant(String workspace, int rank) {
}
