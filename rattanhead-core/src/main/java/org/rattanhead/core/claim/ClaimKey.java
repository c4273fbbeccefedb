package org.rattanhead.core.claim;

/**
 * Identifies a request that may not be repeated.
 *
 * @param workspace the workspace that sent it
 * @param key the idempotency key, unique within the workspace
 */
public record ClaimKey(String workspace, String key) {
}
