package org.rattanhead.decision.forward;

/**
 * Reports how evenly the work of a service is spread, as seen by this daemon.
 *
 * @param service the service
 * @param peakToMean the requests on the busiest instance, relative to the mean
 */
public record ReportBalance(String service, double peakToMean) implements ForwardCommand {
}
