package org.rattanhead.platform.keyed;

import java.util.concurrent.CompletableFuture;

import org.rattanhead.core.Payload;
import org.rattanhead.core.keyed.KeyedStream;
import org.rattanhead.core.keyed.StreamPosition;

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
	 * Reads the records starting at a position.
	 * @param stream the stream
	 * @param from the position of the first record; a store of a later era has other
	 * records there
	 * @param waitMillis how long the store may wait for a new record, in milliseconds
	 * @return a page
	 */
	CompletableFuture<KeyedPage> changes(KeyedStream stream, StreamPosition from, long waitMillis);

	/**
	 * Writes a record.
	 * @param stream the stream
	 * @param key the key
	 * @param value the value
	 * @return the era of the store when the record is stored
	 */
	CompletableFuture<Long> put(KeyedStream stream, String key, Payload value);

}
