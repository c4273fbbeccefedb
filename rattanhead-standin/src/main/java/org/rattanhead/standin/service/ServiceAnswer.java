package org.rattanhead.standin.service;

/**
 * The answer of the plain service.
 *
 * @param path the path called
 * @param key the idempotency key, empty if none was sent
 * @param run how often requests with this key have run, including this one; 0 without a
 * key
 * @param received the body received
 */
record ServiceAnswer(String path, String key, int run, String received) {
}
