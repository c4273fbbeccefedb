package org.rattanhead.daemon.gateway;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

import org.rattanhead.core.keyed.KeyedStream;
import org.rattanhead.core.keyed.StreamUpdate;
import org.rattanhead.platform.keyed.KeyedFollower;

/**
 * The followers of the platform's streams. Messages received before their follower has
 * started are dropped, since the follower reads the stream anyway.
 */
final class StreamFollowers implements AutoCloseable {

	private final Map<KeyedStream, KeyedFollower> followers = new ConcurrentHashMap<>();

	private final AtomicLong latestEra = new AtomicLong();

	private volatile boolean peersKnown;

	void add(KeyedStream stream, KeyedFollower follower) {
		this.followers.put(stream, follower);
	}

	void receiveUpdate(String host, boolean readsForSelf, StreamUpdate update) {
		eraNamed(update.next().era(), host);
		find(update.stream()).ifPresent((follower) -> follower.receive(host, readsForSelf, update));
		if (!this.peersKnown) {
			find(KeyedStream.MEMBERS).ifPresent((follower) -> follower.peerContacted(host));
		}
	}

	void receiveSnapshot(StreamUpdate snapshot) {
		find(snapshot.stream()).ifPresent((follower) -> follower.receiveSnapshot(snapshot));
	}

	void receiveSnapshotRequest(String host, KeyedStream stream) {
		find(stream).ifPresent((follower) -> follower.receiveSnapshotRequest(host));
	}

	/**
	 * Tells the followers that the announcements of the other daemons were read.
	 * @param others whether there are any
	 */
	void onPeersKnown(boolean others) {
		this.peersKnown = true;
		this.followers.forEach((stream, follower) -> follower.peersKnown(others));
	}

	/**
	 * Tells the followers of all streams the era of the store, if it is a later one.
	 * @param era the era
	 * @param host the host of the daemon that named it, empty text for the store
	 */
	void eraNamed(long era, String host) {
		if (this.latestEra.getAndAccumulate(era, Math::max) < era) {
			this.followers.forEach((stream, follower) -> follower.eraNamed(era, host));
		}
	}

	private Optional<KeyedFollower> find(KeyedStream stream) {
		return Optional.ofNullable(this.followers.get(stream));
	}

	@Override
	public void close() {
		this.followers.values().forEach(KeyedFollower::close);
	}

}
