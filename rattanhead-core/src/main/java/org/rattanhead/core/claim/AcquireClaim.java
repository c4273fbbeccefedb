package org.rattanhead.core.claim;

import org.rattanhead.core.request.RequestId;

/**
 * Requests the claim of a key for a request. The order is idempotent and may be sent
 * again for the same request.
 *
 * @param request the request
 * @param key the key
 * @param digest the digest of the call to run
 * @param deadlineNanos the time after which the verdict is of no use, on the monotonic
 * clock of this process
 */
public record AcquireClaim(RequestId request, ClaimKey key, String digest, long deadlineNanos) implements ClaimOrder {
}
