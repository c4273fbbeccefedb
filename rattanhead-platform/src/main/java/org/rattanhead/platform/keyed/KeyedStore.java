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
	 * @param afterKey the last key of the previous page, empty text for the first page
	 * @return a page
	 */
	CompletableFuture<KeyedPage> newest(KeyedStream stream, String afterKey);

	/**
	 * Reads the records starting at an offset.
	 * @param stream the stream
	 * @param fromOffset the offset of the first record
	 * @param waitMillis how long the store may wait for a new record, in milliseconds
	 * @return a page
	 */
	CompletableFuture<KeyedPage> changes(KeyedStream stream, long fromOffset, long waitMillis);

	/**
	 * Writes a record.
	 * @param stream the stream
	 * @param key the key
	 * @param value the value
	 * @return completes when the record is stored
	 */
	CompletableFuture<Void> put(KeyedStream stream, String key, Payload value);

}
