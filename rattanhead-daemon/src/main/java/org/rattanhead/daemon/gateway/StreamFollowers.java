package org.rattanhead.daemon.gateway;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import org.rattanhead.core.keyed.KeyedStream;
import org.rattanhead.core.keyed.StreamUpdate;
import org.rattanhead.platform.keyed.KeyedFollower;

/**
 * The followers of the platform's streams. News that arrive before their follower has
 * started are dropped, since it reads the stream anyway.
 */
final class StreamFollowers implements AutoCloseable {

	private final Map<KeyedStream, KeyedFollower> followers = new ConcurrentHashMap<>();

	void add(KeyedStream stream, KeyedFollower follower) {
		this.followers.put(stream, follower);
	}

	void tell(boolean prior, StreamUpdate news) {
		KeyedFollower follower = this.followers.get(news.stream());
		if (follower != null) {
			follower.receive(prior, news);
		}
	}

	@Override
	public void close() {
		this.followers.values().forEach(KeyedFollower::close);
	}

}
