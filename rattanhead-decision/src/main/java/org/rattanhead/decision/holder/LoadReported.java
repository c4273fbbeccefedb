package org.rattanhead.decision.holder;

import org.rattanhead.core.upstream.UpstreamLoad;

/**
 * An upstream reported its load.
 *
 * @param upstream the upstream
 * @param load the report
 */
public record LoadReported(String upstream, UpstreamLoad load) implements HolderEvent {
}
