package org.rattanhead.core.claim;

import org.rattanhead.core.request.RequestId;

/**
 * A request asks to be the one run of its key. The first in the order of offsets has it.
 *
 * @param key the key
 * @param digest digest of what is to be run
 * @param request the request
 */
public record ClaimTaken(ClaimKey key, String digest, RequestId request) implements ClaimRecord {
}
