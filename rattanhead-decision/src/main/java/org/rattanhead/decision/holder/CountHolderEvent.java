package org.rattanhead.decision.holder;

/**
 * Increment a counter of the lease holder.
 *
 * @param metric the counter
 * @param label the value of its label
 */
public record CountHolderEvent(HolderMetric metric, String label) implements HolderCommand {
}
