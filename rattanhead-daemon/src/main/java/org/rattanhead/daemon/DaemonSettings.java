package org.rattanhead.daemon;

import java.net.InetSocketAddress;

import org.rattanhead.http.FrontEndSettings;
import org.rattanhead.peer.PeerSettings;

/**
 * Settings of a daemon.
 *
 * @param host the name of the host, as in the host list
 * @param callers settings of the front end
 * @param peers settings of the links to other daemons
 * @param logServiceAddress the address of the log service
 * @param hostListAddress the address of the host list
 * @param logs settings of the logs
 * @param claimBatch the maximum number of claims in one append to the log service
 * @param drainDelayMillis how long new work is accepted after the shutdown was announced,
 * in milliseconds
 * @param drainTimeoutMillis how long running requests may take to finish at shutdown, in
 * milliseconds
 */
public record DaemonSettings(String host, FrontEndSettings callers, PeerSettings peers,
		InetSocketAddress logServiceAddress, InetSocketAddress hostListAddress, LogSettings logs, int claimBatch,
		long drainDelayMillis, long drainTimeoutMillis) {
}
