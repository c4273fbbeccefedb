package org.rattanhead.core.claim;

import org.rattanhead.core.request.RequestId;

/**
 * Records that the request that held a key was not run; another may claim the key.
 *
 * @param key the key
 * @param request the request
 */
public record ClaimReleased(ClaimKey key, RequestId request) implements ClaimRecord {
}
