package org.rattanhead.decision.forward;

import java.util.List;

import org.rattanhead.core.forward.UpstreamInstance;

/**
 * The set of registered instances changed.
 *
 * @param instances all instances
 */
public record InstancesChanged(List<UpstreamInstance> instances) implements ForwardEvent {
}
