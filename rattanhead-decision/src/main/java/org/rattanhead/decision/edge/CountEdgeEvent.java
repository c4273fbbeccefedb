package org.rattanhead.decision.edge;

/**
 * Count something in the metrics.
 *
 * @param metric what
 * @param label more about it
 */
public record CountEdgeEvent(EdgeMetric metric, String label) implements EdgeCommand {
}
