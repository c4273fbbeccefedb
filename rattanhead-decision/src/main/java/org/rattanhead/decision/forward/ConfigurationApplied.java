package org.rattanhead.decision.forward;

import org.rattanhead.core.forward.Configuration;

/**
 * A configuration was loaded.
 *
 * @param configuration the configuration
 */
public record ConfigurationApplied(Configuration configuration) implements ForwardEvent {
}
