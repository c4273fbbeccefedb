package org.rattanhead.upstream;

import org.rattanhead.decision.holder.PollLoad;

/**
 * Ask an upstream for its load.
 *
 * @param command the upstream
 */
record ReadLoad(PollLoad command) implements UpstreamTask {
}
