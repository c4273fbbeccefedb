package org.rattanhead.platform.keyed;

import java.util.concurrent.CompletableFuture;

import org.rattanhead.core.Payload;
import org.rattanhead.core.keyed.KeyedStream;

/**
 * Reads and writes keyed records. Failures complete the futures with a
 * {@link org.rattanhead.core.problem.RemedyException} or a call failure.
 */
public interface KeyedStore {

	/**
	 * Reads the newest record of each key.
	 * @param stream the stream
	 * @param afterKey the last key of the page before, empty text for the first page
	 * @return a page
	 */
	CompletableFuture<KeyedPage> newest(KeyedStream stream, String afterKey);

	/**
	 * Reads the records from an offset on.
	 * @param stream the stream
	 * @param fromOffset the offset
	 * @param waitMillis how long to wait for a record, in milliseconds
	 * @return a page
	 */
	CompletableFuture<KeyedPage> changes(KeyedStream stream, long fromOffset, long waitMillis);

	/**
	 * Writes a record.
	 * @param stream the stream
	 * @param key the key
	 * @param value the value
	 * @return completes when it is stored
	 */
	CompletableFuture<Void> put(KeyedStream stream, String key, Payload value);

}
