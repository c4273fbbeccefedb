package org.rattanhead.decision.edge;

/**
 * What the edge wants done.
 */
public sealed interface EdgeCommand permits SendOrder, SendClaimOrder, StartAnswer, WriteAnswer, EndAnswer,
		RefuseCaller, BreakAnswer, CountEdgeEvent, EdgeDrained {

}
