package org.rattanhead.upstream.forward;

import org.rattanhead.decision.forward.ProbeInstance;

/**
 * Probes an instance.
 *
 * @param command the probe
 */
record StartProbe(ProbeInstance command) implements ForwardTask {
}
