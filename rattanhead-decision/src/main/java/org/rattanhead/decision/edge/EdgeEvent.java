package org.rattanhead.decision.edge;

/**
 * What the edge decides on.
 */
public sealed interface EdgeEvent permits RequestSubmitted, CallerGone, SignalReceived, DigestsReceived,
		EdgeCatalogueChanged, EdgeMembersChanged, PeerLost, EdgeTick, EdgeShutdown {

}
