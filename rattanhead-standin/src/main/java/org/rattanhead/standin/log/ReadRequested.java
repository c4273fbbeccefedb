package org.rattanhead.standin.log;

import java.util.concurrent.CompletableFuture;

import org.rattanhead.standin.http.Reply;

/**
 * A request to read records.
 *
 * @param stream the stream
 * @param fromOffset the offset of the first record to return
 * @param waitMillis maximum time to wait for a record, in milliseconds
 * @param reply completed with the reply
 */
record ReadRequested(String stream, long fromOffset, long waitMillis,
		CompletableFuture<Reply> reply) implements LogEvent {
}
