package org.rattanhead.core.request;

/**
 * A request as decoded by a front end, before admission.
 *
 * @param id the id assigned by the daemon
 * @param keySha256 SHA-256 of the caller's key, empty if none was sent
 * @param target the model or plain service that it addresses
 * @param call the call to make on the upstream
 * @param promptTokens estimated length of the prompt, in tokens; 0 for a plain service
 * @param maxOutputTokens the longest answer that the caller requested, in tokens; 0 if
 * not specified
 * @param timeoutMillis the deadline that the caller requested, in milliseconds; 0 if not
 * specified
 * @param idempotencyKey the key of a request that may not be repeated, empty if none was
 * sent
 * @param digest digest of the call, empty if there is no idempotency key
 */
public record CallerRequest(RequestId id, String keySha256, Target target, UpstreamCall call, int promptTokens,
		int maxOutputTokens, long timeoutMillis, String idempotencyKey, String digest) {
}
