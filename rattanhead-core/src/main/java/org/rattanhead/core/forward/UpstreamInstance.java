package org.rattanhead.core.forward;

/**
 * One incarnation of an upstream, as it registered itself.
 *
 * @param id the name of the instance
 * @param service the service that it belongs to
 * @param address IP address and port
 * @param failureDomain the failure domain it runs in
 * @param slots the most requests that it runs concurrently
 * @param draining whether it is about to leave
 * @param coldRemainingMillis the time that it remains cold, in milliseconds
 * @param incarnation changes with each start under the same id
 */
public record UpstreamInstance(String id, String service, String address, String failureDomain, int slots,
		boolean draining, long coldRemainingMillis, long incarnation) {
}
