package org.rattanhead.decision.forward;

import java.util.OptionalLong;

/**
 * Another daemon reported when an instance last answered it.
 *
 * @param host its host
 * @param address its address for other daemons
 * @param ready whether callers may use it
 * @param contactAgeMillis the time since the answer, in milliseconds; empty if there was
 * none or an earlier version reports none
 */
public record PeerContactReported(String host, String address, boolean ready,
		OptionalLong contactAgeMillis) implements ForwardEvent {
}
