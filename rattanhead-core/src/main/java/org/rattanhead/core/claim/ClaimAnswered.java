package org.rattanhead.core.claim;

import org.rattanhead.core.request.RequestId;

/**
 * Records the answer to the request that holds a key.
 *
 * @param key the key
 * @param request the request
 * @param answer the answer
 */
public record ClaimAnswered(ClaimKey key, RequestId request, KeptAnswer answer) implements ClaimRecord {
}
