package org.rattanhead.decision.edge;

import org.rattanhead.core.upstream.UpstreamDigest;

/**
 * A digest and who published it. A digest counts only while its publisher holds the
 * lease.
 *
 * @param holder the daemon that published it
 * @param digest the digest
 */
record PublishedDigest(String holder, UpstreamDigest digest) {
}
