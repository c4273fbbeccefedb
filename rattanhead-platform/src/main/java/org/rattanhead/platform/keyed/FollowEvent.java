package org.rattanhead.platform.keyed;

/**
 * An input of {@link StreamReader}.
 */
sealed interface FollowEvent permits ReadDue, PageArrived, ReadFailed, UpdateReceived, PeersKnown, RequestDue,
		PeerContacted, SnapshotRequested, SnapshotReceived, EraNamed {

}
