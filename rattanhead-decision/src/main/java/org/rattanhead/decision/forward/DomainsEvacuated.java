package org.rattanhead.decision.forward;

import java.util.Set;

/**
 * The set of evacuated failure domains changed.
 *
 * @param domains all failure domains that accept no new work
 */
public record DomainsEvacuated(Set<String> domains) implements ForwardEvent {
}
