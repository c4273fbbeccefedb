package org.rattanhead.standin.engine;

/**
 * Memory held for one request.
 *
 * @param id the request id
 * @param tokens the tokens held
 */
public record HeldMemoryBody(String id, long tokens) {
}
