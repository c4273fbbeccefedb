package org.rattanhead.platform;

import org.rattanhead.core.Payload;

/**
 * A record of a stream of the log service.
 *
 * @param offset its position in the stream
 * @param payload its bytes
 */
public record LogRecord(long offset, Payload payload) {
}
