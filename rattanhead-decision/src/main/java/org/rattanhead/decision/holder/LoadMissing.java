package org.rattanhead.decision.holder;

/**
 * An upstream did not report its load.
 *
 * @param upstream the upstream
 */
public record LoadMissing(String upstream) implements HolderEvent {
}
