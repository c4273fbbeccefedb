package org.rattanhead.standin.http;

/**
 * The body of an error reply.
 *
 * @param error what went wrong
 * @param remedy what to do about it
 */
public record ErrorBody(String error, String remedy) {
}
