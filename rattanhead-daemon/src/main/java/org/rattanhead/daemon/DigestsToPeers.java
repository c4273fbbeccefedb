package org.rattanhead.daemon;

import java.util.List;

import org.rattanhead.core.upstream.UpstreamDigest;

/**
 * Digests to be published to all peers.
 *
 * @param digests the digests
 */
record DigestsToPeers(List<UpstreamDigest> digests) implements PeerTask {
}
