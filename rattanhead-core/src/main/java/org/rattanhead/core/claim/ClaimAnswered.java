package org.rattanhead.core.claim;

import org.rattanhead.core.request.RequestId;

/**
 * A request that holds a key was run and answered.
 *
 * @param key the key
 * @param request the request
 * @param answer the answer
 */
public record ClaimAnswered(ClaimKey key, RequestId request, KeptAnswer answer) implements ClaimRecord {
}
