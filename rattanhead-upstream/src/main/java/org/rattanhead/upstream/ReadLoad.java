package org.rattanhead.upstream;

import org.rattanhead.decision.holder.PollLoad;

/**
 * Requests the load of an upstream.
 *
 * @param command the upstream
 */
record ReadLoad(PollLoad command) implements UpstreamTask {
}
