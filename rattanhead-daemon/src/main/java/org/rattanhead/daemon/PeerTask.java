package org.rattanhead.daemon;

/**
 * A task of {@link PeerDuty}.
 */
sealed interface PeerTask
		permits OrderToPeer, SignalToPeer, ClaimOrderToPeer, VerdictToPeer, DigestsToPeers, PeersChanged {

}
