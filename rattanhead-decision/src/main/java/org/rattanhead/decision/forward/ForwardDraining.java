package org.rattanhead.decision.forward;

/**
 * The daemon shuts down.
 *
 * @param refuseNew whether new requests are refused from now on
 */
public record ForwardDraining(boolean refuseNew) implements ForwardEvent {
}
