package org.rattanhead.platform.keyed;

import org.rattanhead.core.keyed.KeyedStream;
import org.rattanhead.core.keyed.StreamUpdate;

/**
 * Sends messages about streams to the other daemons.
 */
@FunctionalInterface
public interface StreamPeers {

	/**
	 * Sends what was read to all other daemons.
	 * @param update the update
	 */
	void sendUpdate(StreamUpdate update);

	/**
	 * Requests the newest records of a stream from another daemon.
	 * @param stream the stream
	 * @param host the host of that daemon, empty text to choose a few
	 */
	default void requestSnapshot(KeyedStream stream, String host) {
		// Daemons that do not exchange snapshots read the store.
	}

	/**
	 * Sends the newest records of a stream to a daemon that requested them.
	 * @param host the host of that daemon
	 * @param snapshot the newest record of each key; its next offset is that of the
	 * changes that follow
	 */
	default void sendSnapshot(String host, StreamUpdate snapshot) {
		// Not requested from daemons that do not exchange snapshots.
	}

}
