package org.rattanhead.decision.edge;

import org.rattanhead.core.upstream.UpstreamDigest;

/**
 * A digest and its publisher. A digest is used only while its publisher holds the lease.
 *
 * @param holder the daemon that published it
 * @param digest the digest
 */
record PublishedDigest(String holder, UpstreamDigest digest) {
}
