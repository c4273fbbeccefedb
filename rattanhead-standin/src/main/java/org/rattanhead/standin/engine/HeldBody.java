package org.rattanhead.standin.engine;

/**
 * Memory held for one request.
 *
 * @param id the request id
 * @param tokens the tokens held
 */
public record HeldBody(String id, long tokens) {
}
