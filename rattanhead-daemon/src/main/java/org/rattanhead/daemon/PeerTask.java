package org.rattanhead.daemon;

/**
 * What the peer duty has to send.
 */
sealed interface PeerTask
		permits OrderToPeer, SignalToPeer, ClaimOrderToPeer, VerdictToPeer, DigestsToPeers, PeersWanted {

}
