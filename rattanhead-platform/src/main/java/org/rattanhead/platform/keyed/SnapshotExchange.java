package org.rattanhead.platform.keyed;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

import org.rattanhead.core.keyed.KeyedStream;
import org.rattanhead.core.keyed.StreamPosition;
import org.rattanhead.core.keyed.StreamUpdate;

/**
 * Requests the newest records of a stream from other daemons while this one lacks them,
 * and supplies them. Requests that arrive before this daemon has the records are answered
 * once it has them.
 */
final class SnapshotExchange {

	/** The pause between two requests for a snapshot. */
	private static final long REQUEST_MILLIS = 200;

	private final KeyedStream stream;

	private final StreamProgress progress;

	private final StreamRecords records;

	private final ReadSchedule schedule;

	private final StreamPeers peers;

	private final Runnable repeatLater;

	private final Set<String> waitingHosts = new LinkedHashSet<>();

	/**
	 * Creates the exchange of one stream.
	 * @param stream the stream
	 * @param progress how far the stream was read
	 * @param records the records
	 * @param schedule determines whether the records are current
	 * @param peers sends messages to the other daemons
	 * @param timer schedules further requests
	 * @param requestDue called when the next request is due
	 */
	SnapshotExchange(KeyedStream stream, StreamProgress progress, StreamRecords records, ReadSchedule schedule,
			StreamPeers peers, FollowTimer timer, Runnable requestDue) {
		this.stream = stream;
		this.progress = progress;
		this.records = records;
		this.schedule = schedule;
		this.peers = peers;
		this.repeatLater = () -> timer.after(REQUEST_MILLIS, requestDue);
	}

	/**
	 * Requests the newest records from one daemon, unless this one has them.
	 * @param host the host of that daemon
	 * @return true if they were requested
	 */
	boolean requestFrom(String host) {
		if (this.progress.readingNewest()) {
			this.peers.requestSnapshot(this.stream, host);
		}
		return this.progress.readingNewest();
	}

	/**
	 * Requests records that are missing between those that this daemon has and an update.
	 * @param host the host of the daemon that sent the update
	 */
	void requestMissing(String host) {
		this.peers.requestSnapshot(this.stream, host);
	}

	/**
	 * Requests the newest records until this daemon has them.
	 * @param host the host of the daemon to ask first, empty text to choose a few
	 * @return true if they were requested
	 */
	boolean requestUntilReceived(String host) {
		boolean requested = requestFrom(host);
		if (requested) {
			this.repeatLater.run();
		}
		return requested;
	}

	/**
	 * Answers a request for the newest records now, or once this daemon has them.
	 * @param host the host of the daemon that requested them
	 * @param nowNanos the time on the monotonic clock
	 * @return true if they were sent
	 */
	boolean supply(String host, long nowNanos) {
		if (this.progress.readingNewest()) {
			this.waitingHosts.add(host);
			return false;
		}
		StreamPosition next = this.progress.position();
		StreamUpdate snapshot = new StreamUpdate(this.stream, next, next, this.records.all());
		if (!this.schedule.isCurrent(nowNanos) || !NewestRecords.fitMessage(snapshot.records())) {
			return false;
		}
		this.peers.sendSnapshot(host, snapshot);
		return true;
	}

	/**
	 * Answers the requests that arrived before this daemon had the records.
	 * @param nowNanos the time on the monotonic clock
	 */
	void supplyWaiting(long nowNanos) {
		List<String> hosts = List.copyOf(this.waitingHosts);
		this.waitingHosts.clear();
		hosts.forEach((host) -> supply(host, nowNanos));
	}

}
