package org.rattanhead.decision.holder;

import org.rattanhead.core.catalogue.UpstreamEntry;
import org.rattanhead.core.request.Work;

/**
 * Send work to an upstream.
 *
 * @param upstream the upstream
 * @param work the work
 */
public record CallUpstream(UpstreamEntry upstream, Work work) implements HolderCommand {
}
