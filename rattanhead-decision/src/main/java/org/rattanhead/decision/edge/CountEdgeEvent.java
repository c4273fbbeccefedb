package org.rattanhead.decision.edge;

/**
 * Increments a counter of the edge.
 *
 * @param metric the counter
 * @param label the value of its label
 */
public record CountEdgeEvent(EdgeMetric metric, String label) implements EdgeCommand {
}
