package org.rattanhead.core.claim;

import org.rattanhead.core.request.RequestId;

/**
 * Asks whether a request may run. Asking again for the same request is harmless.
 *
 * @param request the request
 * @param key the key
 * @param digest digest of what is to be run
 * @param deadlineNanos when the verdict is no longer wanted, on the monotonic clock of
 * this process
 */
public record AskClaim(RequestId request, ClaimKey key, String digest, long deadlineNanos) implements ClaimOrder {
}
