package org.rattanhead.decision.holder;

/**
 * Count something in the metrics.
 *
 * @param metric what
 * @param label more about it
 */
public record CountHolderEvent(HolderMetric metric, String label) implements HolderCommand {
}
