package org.rattanhead.decision.forward;

/**
 * A prompt that a caller sends.
 *
 * @param path the path prefix of its route
 * @param key the key of its workspace
 * @param tokens its length, in tokens
 */
record OfferedPrompt(String path, String key, long tokens) {
}
