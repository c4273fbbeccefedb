package org.rattanhead.standin.log;

/**
 * The body of the answer to an append.
 *
 * @param offset the offset of the record
 */
record OffsetBody(long offset) {
}
