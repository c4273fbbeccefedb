package org.rattanhead.decision.forward;

import java.util.Set;

/**
 * The operators took failure domains out, or back.
 *
 * @param domains all failure domains that take no new work
 */
public record DomainsEvacuated(Set<String> domains) implements ForwardEvent {
}
