package org.rattanhead.decision.edge;

/**
 * An input of {@link EdgeDecider}.
 */
public sealed interface EdgeEvent permits RequestSubmitted, CallerDisconnected, SignalReceived, VerdictReceived,
		DigestsReceived, EdgeCatalogueChanged, EdgeMembersChanged, PeerLost, EdgeTick, EdgeShutdown, EdgeGraceEnded {

}
