package org.rattanhead.daemon;

import java.util.List;

import org.rattanhead.core.upstream.UpstreamDigest;

/**
 * Publish digests.
 *
 * @param digests the digests
 */
record DigestsToPeers(List<UpstreamDigest> digests) implements PeerTask {
}
