package org.rattanhead.decision.holder;

import org.rattanhead.core.catalogue.UpstreamEntry;
import org.rattanhead.core.request.AttemptId;

/**
 * Cancel an attempt that runs on an upstream.
 *
 * @param upstream the upstream
 * @param attempt the attempt
 */
public record AbortCall(UpstreamEntry upstream, AttemptId attempt) implements HolderCommand {
}
