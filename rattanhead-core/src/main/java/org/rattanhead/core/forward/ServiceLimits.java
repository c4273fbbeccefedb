package org.rattanhead.core.forward;

import java.util.Optional;

/**
 * Limits of a service of the active configuration.
 *
 * @param name the name of the service
 * @param coldPerSecond the requests per second that a cold instance sustains, 0 if
 * instances are never cold
 * @param engine the figures of the model engine, empty for a plain service
 */
public record ServiceLimits(String name, double coldPerSecond, Optional<EngineModel> engine) {
}
