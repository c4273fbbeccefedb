package org.rattanhead.decision.edge;

/**
 * An output of {@link EdgeDecider}, carried out by other duties.
 */
public sealed interface EdgeCommand permits SendOrder, SendClaimOrder, StartAnswer, WriteAnswer, EndAnswer, SendProblem,
		AbortAnswer, CountEdgeEvent, EdgeDrained {

}
