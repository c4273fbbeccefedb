package org.rattanhead.decision.forward;

import java.util.OptionalLong;

import org.rattanhead.core.forward.ServerNotice;

/**
 * An instance said something of itself in an answer.
 *
 * @param instance the id of the instance
 * @param incarnation the incarnation that was called, empty if the call named none
 * @param notice what it said
 */
public record InstanceNoticed(String instance, OptionalLong incarnation, ServerNotice notice) implements ForwardEvent {
}
