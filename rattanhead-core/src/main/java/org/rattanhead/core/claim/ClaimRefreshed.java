package org.rattanhead.core.claim;

import java.util.Optional;

import org.rattanhead.core.request.RequestId;

/**
 * Repeats who holds a key, before the log forgets the first record. It overrides what a
 * reader concluded from records that are left without those before them.
 *
 * @param key the key
 * @param digest digest of what was run
 * @param request the request that holds the key
 * @param answer the answer, if there is one
 * @param asOfOffset the offset up to which its writer had read, exclusive
 */
public record ClaimRefreshed(ClaimKey key, String digest, RequestId request, Optional<KeptAnswer> answer,
		long asOfOffset) implements ClaimRecord {
}
