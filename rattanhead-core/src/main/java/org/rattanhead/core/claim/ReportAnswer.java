package org.rattanhead.core.claim;

import org.rattanhead.core.request.RequestId;

/**
 * Tells the answer of a request that held a key.
 *
 * @param request the request
 * @param key the key
 * @param answer the answer
 */
public record ReportAnswer(RequestId request, ClaimKey key, KeptAnswer answer) implements ClaimOrder {
}
