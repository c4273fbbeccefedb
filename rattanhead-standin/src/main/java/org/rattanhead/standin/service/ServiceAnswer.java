package org.rattanhead.standin.service;

/**
 * The answer of the plain service.
 *
 * @param path the path called
 * @param key the idempotency key, empty if none was sent
 * @param run how often the key has run, this run included
 * @param received the body received
 */
record ServiceAnswer(String path, String key, int run, String received) {
}
