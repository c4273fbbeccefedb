package org.rattanhead.decision.edge;

/**
 * What the edge decides on.
 */
public sealed interface EdgeEvent permits RequestSubmitted, CallerGone, SignalReceived, VerdictReceived,
		DigestsReceived, EdgeCatalogueChanged, EdgeMembersChanged, PeerLost, EdgeTick, EdgeShutdown {

}
