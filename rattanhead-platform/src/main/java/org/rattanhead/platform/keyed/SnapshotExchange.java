package org.rattanhead.platform.keyed;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

import org.rattanhead.core.keyed.KeyedStream;
import org.rattanhead.core.keyed.StreamUpdate;

/**
 * Requests the newest records of a stream from other daemons, and supplies them. Requests
 * that arrive before this daemon has the records are answered once it has them.
 */
final class SnapshotExchange {

	private final KeyedStream stream;

	private final StreamPeers peers;

	private final Set<String> waitingHosts = new LinkedHashSet<>();

	SnapshotExchange(KeyedStream stream, StreamPeers peers) {
		this.stream = stream;
		this.peers = peers;
	}

	/**
	 * Requests the newest records.
	 * @param host the host of the daemon to ask, empty text to choose a few
	 */
	void request(String host) {
		this.peers.requestSnapshot(this.stream, host);
	}

	/**
	 * Remembers a request.
	 * @param host the host of the daemon that requested the newest records
	 */
	void postpone(String host) {
		this.waitingHosts.add(host);
	}

	/**
	 * Returns the hosts whose requests were remembered, and forgets them.
	 * @return the hosts
	 */
	List<String> takeWaiting() {
		List<String> hosts = List.copyOf(this.waitingHosts);
		this.waitingHosts.clear();
		return hosts;
	}

	/**
	 * Sends the newest records, unless they are too large for a message.
	 * @param host the host of the daemon that requested them
	 * @param snapshot the newest record of each key
	 * @return true if they were sent
	 */
	boolean supply(String host, StreamUpdate snapshot) {
		if (!NewestRecords.fitMessage(snapshot.records())) {
			return false;
		}
		this.peers.sendSnapshot(host, snapshot);
		return true;
	}

}
