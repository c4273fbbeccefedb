package org.rattanhead.decision.reach;

/**
 * What another daemon reported of its links to the instances.
 *
 * @param host the host of that daemon
 * @param ready whether callers may use it
 * @param answeredNanos when an instance last answered it, on the monotonic clock of this
 * daemon
 */
public record PeerContact(String host, boolean ready, long answeredNanos) {

	boolean answeredSince(long nanos) {
		return this.ready && this.answeredNanos >= nanos;
	}

}
