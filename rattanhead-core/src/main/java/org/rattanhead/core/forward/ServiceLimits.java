package org.rattanhead.core.forward;

import java.util.Optional;

/**
 * Limits of a service of the configuration in force.
 *
 * @param name the name of the service
 * @param coldPerSecond the requests a second that a cold instance bears, 0 if it is never
 * cold
 * @param engine the figures of the model engine, empty for a plain service
 */
public record ServiceLimits(String name, double coldPerSecond, Optional<EngineModel> engine) {
}
