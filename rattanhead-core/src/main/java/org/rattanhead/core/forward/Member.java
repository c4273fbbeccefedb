package org.rattanhead.core.forward;

/**
 * A daemon, as it announces itself.
 *
 * @param host the name of its host
 * @param startedMillis when it started, in milliseconds of Unix time
 * @param callersAddress where callers connect
 * @param meshAddress where daemons send datagrams
 */
public record Member(String host, long startedMillis, String callersAddress, String meshAddress) {
}
