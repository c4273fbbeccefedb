package org.rattanhead.platform.keyed;

import java.util.Random;
import java.util.function.Supplier;

import org.rattanhead.core.keyed.KeyedStream;
import org.rattanhead.core.keyed.StreamUpdate;
import org.rattanhead.ring.Duty;
import org.rattanhead.ring.Ticker;
import org.rattanhead.ring.Urgency;

/**
 * The duty that follows a stream, with a {@link StreamReader}.
 */
public final class KeyedFollower implements AutoCloseable {

	private static final int RING_SLOTS = 64;

	private final Duty<FollowEvent> duty;

	/**
	 * Starts following a stream.
	 * @param store the store
	 * @param plan the current timing of reads
	 * @param ticker schedules reads
	 * @param listener receives the records
	 * @param peers sends messages to the other daemons
	 * @param observer observes the position
	 */
	public KeyedFollower(KeyedStore store, Supplier<FollowPlan> plan, Ticker ticker, KeyedListener listener,
			StreamPeers peers, PositionObserver observer) {
		KeyedStream stream = plan.get().stream();
		StreamReader reader = new StreamReader(store, plan, new ReadSchedule(plan, new Random(), System.nanoTime()),
				listener, peers, observer, ticker::after, this::offer);
		this.duty = new Duty<>("follow-" + stream, RING_SLOTS, System::nanoTime, reader::handle);
		offer(new ReadDue(0));
	}

	private void offer(FollowEvent event) {
		this.duty.offer(event, Urgency.CONTROL);
	}

	/**
	 * Receives an update that another daemon read.
	 * @param host the host of that daemon
	 * @param senderHasPriority whether that daemon continues to read if both daemons read
	 * @param update the update
	 */
	public void receive(String host, boolean senderHasPriority, StreamUpdate update) {
		this.duty.offer(new UpdateReceived(host, senderHasPriority, update), Urgency.STREAM);
	}

	/**
	 * Receives the newest records that another daemon sent.
	 * @param snapshot the newest record of each key
	 */
	public void receiveSnapshot(StreamUpdate snapshot) {
		this.duty.offer(new SnapshotReceived(snapshot), Urgency.STREAM);
	}

	/**
	 * Receives the request of another daemon for the newest records.
	 * @param host the host of that daemon
	 */
	public void receiveSnapshotRequest(String host) {
		this.duty.offer(new SnapshotRequested(host), Urgency.STREAM);
	}

	/**
	 * Tells the duty that the announcements of the other daemons were read. Until then it
	 * waits a short time before its first read.
	 * @param others whether there are any
	 */
	public void peersKnown(boolean others) {
		offer(new PeersKnown(others));
	}

	/**
	 * Tells the duty that another daemon sent an update of another stream.
	 * @param host the host of that daemon
	 */
	public void peerContacted(String host) {
		this.duty.offer(new PeerContacted(host), Urgency.STREAM);
	}

	/**
	 * Tells the duty that the store or another daemon named a later era of the store.
	 * @param era the era
	 * @param host the host of that daemon, empty text for the store
	 */
	public void eraNamed(long era, String host) {
		offer(new EraNamed(era, host));
	}

	@Override
	public void close() {
		this.duty.close();
	}

}
