package org.rattanhead.core.claim;

import org.rattanhead.core.request.RequestId;

/**
 * Releases the claim of a request that was not run and will not be.
 *
 * @param request the request
 * @param key the key
 */
public record ReleaseClaim(RequestId request, ClaimKey key) implements ClaimOrder {
}
