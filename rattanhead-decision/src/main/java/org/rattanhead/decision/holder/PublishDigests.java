package org.rattanhead.decision.holder;

import java.util.List;

import org.rattanhead.core.upstream.UpstreamDigest;

/**
 * Publish the state of the upstreams to all daemons.
 *
 * @param digests one for each upstream whose lease this daemon holds
 */
public record PublishDigests(List<UpstreamDigest> digests) implements HolderCommand {
}
