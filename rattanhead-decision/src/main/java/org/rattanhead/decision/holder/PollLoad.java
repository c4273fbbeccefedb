package org.rattanhead.decision.holder;

import org.rattanhead.core.catalogue.UpstreamEntry;

/**
 * Ask an upstream for its load.
 *
 * @param upstream the upstream
 */
public record PollLoad(UpstreamEntry upstream) implements HolderCommand {
}
