package org.rattanhead.core.claim;

import org.rattanhead.core.request.RequestId;

/**
 * Records that a request claims a key. The first claim in the order of offsets holds the
 * key.
 *
 * @param key the key
 * @param digest the digest of the call to run
 * @param request the request
 */
public record ClaimTaken(ClaimKey key, String digest, RequestId request) implements ClaimRecord {
}
