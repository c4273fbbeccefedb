package org.rattanhead.core.claim;

import org.rattanhead.core.request.RequestId;

/**
 * Reports the answer to a request that holds a key.
 *
 * @param request the request
 * @param key the key
 * @param answer the answer
 */
public record ReportAnswer(RequestId request, ClaimKey key, KeptAnswer answer) implements ClaimOrder {
}
