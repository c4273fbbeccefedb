package org.rattanhead.standin.log;

import java.util.concurrent.CompletableFuture;

import org.rattanhead.core.Payload;
import org.rattanhead.standin.http.Reply;

/**
 * A request to append a record.
 *
 * @param stream the stream
 * @param payload the record
 * @param reply completed with the reply
 */
record AppendRequested(String stream, Payload payload, CompletableFuture<Reply> reply) implements LogEvent {
}
