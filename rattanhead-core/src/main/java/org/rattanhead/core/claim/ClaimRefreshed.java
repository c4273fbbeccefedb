package org.rattanhead.core.claim;

import java.util.Optional;

import org.rattanhead.core.request.RequestId;

/**
 * Records the holder of a key again, before the log expires the original record. It
 * overrides the state that a reader derived from later records of the key without the
 * expired ones.
 *
 * @param key the key
 * @param digest the digest of the call
 * @param request the request that holds the key
 * @param answer the answer, empty if there is none
 * @param asOfOffset the offset up to which its writer had read, exclusive
 */
public record ClaimRefreshed(ClaimKey key, String digest, RequestId request, Optional<KeptAnswer> answer,
		long asOfOffset) implements ClaimRecord {
}
