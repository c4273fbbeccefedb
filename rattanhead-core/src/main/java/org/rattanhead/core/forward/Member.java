package org.rattanhead.core.forward;

/**
 * A daemon as announced by itself.
 *
 * @param host the name of its host
 * @param startedMillis the start time, in milliseconds of Unix time
 * @param callersAddress the address that callers connect to
 * @param meshAddress the address that receives datagrams of other daemons
 * @param processorMillicores the processor time that its host provides, in thousandths of
 * a core; 0 if unknown
 */
public record Member(String host, long startedMillis, String callersAddress, String meshAddress,
		int processorMillicores) {
}
