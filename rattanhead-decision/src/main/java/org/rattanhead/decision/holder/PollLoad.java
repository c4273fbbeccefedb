package org.rattanhead.decision.holder;

import org.rattanhead.core.catalogue.UpstreamEntry;

/**
 * Request the load of an upstream.
 *
 * @param upstream the upstream
 */
public record PollLoad(UpstreamEntry upstream) implements HolderCommand {
}
