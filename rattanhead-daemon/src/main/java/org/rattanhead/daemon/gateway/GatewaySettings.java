package org.rattanhead.daemon.gateway;

import java.net.InetSocketAddress;

import org.apache.logging.log4j.Level;

import org.rattanhead.decision.forward.ForwardLimits;

/**
 * Settings of a gateway.
 *
 * @param host the name of the host
 * @param callersAddress where callers send requests
 * @param readyAddress where the platform checks whether the daemon is ready
 * @param directoryAddress where callers request addresses
 * @param meshAddress where other daemons send datagrams
 * @param metricsAddress where metrics are served
 * @param storeAddress the address of the platform's store
 * @param processorCores the processor time that the host provides, in cores; 0 if unknown
 * @param limits the limits that all daemons share
 * @param graceMillis the time between SIGTERM and SIGKILL, in milliseconds
 * @param addressTtlMillis how long callers may cache addresses, in milliseconds
 * @param logLevel the lowest level that is logged
 */
record GatewaySettings(String host, InetSocketAddress callersAddress, InetSocketAddress readyAddress,
		InetSocketAddress directoryAddress, InetSocketAddress meshAddress, InetSocketAddress metricsAddress,
		InetSocketAddress storeAddress, double processorCores, ForwardLimits limits, long graceMillis,
		long addressTtlMillis, Level logLevel) {

	GatewaySettings withLogLevel(Level newLogLevel) {
		return new GatewaySettings(this.host, this.callersAddress, this.readyAddress, this.directoryAddress,
				this.meshAddress, this.metricsAddress, this.storeAddress, this.processorCores, this.limits,
				this.graceMillis, this.addressTtlMillis, newLogLevel);
	}

}
