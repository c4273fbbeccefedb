package org.rattanhead.standin.log;

/**
 * A record in the answer to a read.
 *
 * @param offset its offset
 * @param data its bytes in Base64
 */
record RecordBody(long offset, String data) {
}
