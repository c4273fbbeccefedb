package org.rattanhead.daemon.gateway;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import org.rattanhead.core.keyed.KeyedStream;
import org.rattanhead.core.keyed.StreamUpdate;
import org.rattanhead.platform.keyed.KeyedFollower;

/**
 * The followers of the platform's streams. Updates received before their follower has
 * started are dropped, since the follower reads the stream anyway.
 */
final class StreamFollowers implements AutoCloseable {

	private final Map<KeyedStream, KeyedFollower> followers = new ConcurrentHashMap<>();

	void add(KeyedStream stream, KeyedFollower follower) {
		this.followers.put(stream, follower);
	}

	void receiveUpdate(boolean readsForSelf, StreamUpdate update) {
		KeyedFollower follower = this.followers.get(update.stream());
		if (follower != null) {
			follower.receive(readsForSelf, update);
		}
	}

	@Override
	public void close() {
		this.followers.values().forEach(KeyedFollower::close);
	}

}
