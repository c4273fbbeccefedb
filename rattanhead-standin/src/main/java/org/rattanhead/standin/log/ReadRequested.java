package org.rattanhead.standin.log;

import java.util.concurrent.CompletableFuture;

import org.rattanhead.standin.http.Reply;

/**
 * Read records.
 *
 * @param stream the stream
 * @param fromOffset the first offset wanted
 * @param waitMillis how long to wait for a record, in milliseconds
 * @param reply completed with the reply
 */
record ReadRequested(String stream, long fromOffset, long waitMillis,
		CompletableFuture<Reply> reply) implements LogEvent {
}
