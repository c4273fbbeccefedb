package org.rattanhead.core.host;

/**
 * The state of a host in the platform's host list.
 */
public enum HostState {

	/** The host is in service. */
	LIVE,

	/** The host is about to leave; it accepts no new work. */
	LEAVING

}
