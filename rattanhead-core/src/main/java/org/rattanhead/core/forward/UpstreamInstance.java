package org.rattanhead.core.forward;

/**
 * One life of an upstream, as it registered itself.
 *
 * @param id the name of the instance
 * @param service the service that it belongs to
 * @param address IP number and port
 * @param failureDomain where it runs
 * @param slots the requests it runs at once
 * @param draining whether it is leaving
 * @param coldRemainingMillis how long it stays cold, in milliseconds
 * @param incarnation differs between two lives under one id
 */
public record UpstreamInstance(String id, String service, String address, String failureDomain, int slots,
		boolean draining, long coldRemainingMillis, long incarnation) {
}
