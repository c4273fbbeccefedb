package org.rattanhead.decision.edge;

import java.util.List;

import org.rattanhead.core.upstream.UpstreamDigest;

/**
 * A lease holder published the state of its upstreams.
 *
 * @param fromHost the lease holder
 * @param digests one digest for each upstream that it holds
 */
public record DigestsReceived(String fromHost, List<UpstreamDigest> digests) implements EdgeEvent {
}
