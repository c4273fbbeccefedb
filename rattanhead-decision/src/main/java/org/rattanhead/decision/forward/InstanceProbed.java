package org.rattanhead.decision.forward;

/**
 * A probe of an instance has ended.
 *
 * @param instance the id of the instance
 * @param answered whether it answered
 */
public record InstanceProbed(String instance, boolean answered) implements ForwardEvent {
}
