package org.rattanhead.peer;

import java.util.List;

import org.rattanhead.core.claim.ClaimOrder;
import org.rattanhead.core.claim.ClaimVerdict;
import org.rattanhead.core.upstream.UpstreamDigest;
import org.rattanhead.core.work.WorkOrder;
import org.rattanhead.core.work.WorkSignal;

/**
 * Receives events and frames of the links, on their I/O threads.
 */
public interface PeerListener {

	/**
	 * A link that this daemon dialled is established.
	 * @param host the daemon at its other end
	 */
	void onLinkUp(String host);

	/**
	 * A link that this daemon dialled was lost.
	 * @param host the daemon at its other end
	 */
	void onLinkDown(String host);

	/**
	 * A link that an entry daemon dialled was lost.
	 * @param host the daemon at its other end
	 */
	void onEntryDaemonLost(String host);

	/**
	 * Another daemon is shutting down.
	 * @param host that daemon
	 */
	void onGoodbye(String host);

	/**
	 * An entry daemon sent an order.
	 * @param host the entry daemon
	 * @param order the order
	 * @return false if the order cannot be accepted now; it is delivered again later
	 */
	boolean onOrder(String host, WorkOrder order);

	/**
	 * A lease holder sent a signal.
	 * @param host the lease holder
	 * @param signal the signal
	 * @return false if the signal cannot be accepted now; it is delivered again later
	 */
	boolean onSignal(String host, WorkSignal signal);

	/**
	 * An entry daemon sent an order about a claim.
	 * @param host the entry daemon
	 * @param order the order
	 * @return false if the order cannot be accepted now; it is delivered again later
	 */
	boolean onClaimOrder(String host, ClaimOrder order);

	/**
	 * A writer of claims sent a verdict.
	 * @param host the writer
	 * @param verdict the verdict
	 * @return false if the verdict cannot be accepted now; it is delivered again later
	 */
	boolean onVerdict(String host, ClaimVerdict verdict);

	/**
	 * A lease holder published digests.
	 * @param host the lease holder
	 * @param digests the digests
	 */
	void onDigests(String host, List<UpstreamDigest> digests);

}
