package org.rattanhead.platform;

import java.util.concurrent.CompletableFuture;

import org.rattanhead.core.Payload;

/**
 * The platform's append-only log.
 */
public interface LogService {

	/**
	 * Appends a record. After a failure the record may or may not be in the stream; the
	 * caller has to read the stream to find out.
	 * @param stream the stream
	 * @param payload the record
	 * @return its offset
	 */
	CompletableFuture<Long> append(String stream, Payload payload);

	/**
	 * Reads records.
	 * @param stream the stream
	 * @param fromOffset the offset to start from
	 * @param waitMillis how long the service may wait for a new record, in milliseconds
	 * @return the records from that offset on, possibly none
	 */
	CompletableFuture<LogPage> read(String stream, long fromOffset, long waitMillis);

}
