package org.rattanhead.core.claim;

import org.rattanhead.core.request.RequestId;

/**
 * Tells that a request was not run and will not be.
 *
 * @param request the request
 * @param key the key
 */
public record ReleaseClaim(RequestId request, ClaimKey key) implements ClaimOrder {
}
