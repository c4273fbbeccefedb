package org.rattanhead.standin.log;

/**
 * The body of the answer to an append.
 *
 * @param offset the offset of the appended record
 */
record OffsetBody(long offset) {
}
