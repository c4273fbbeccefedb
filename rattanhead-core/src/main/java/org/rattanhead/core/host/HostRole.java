package org.rattanhead.core.host;

/**
 * The role of a host.
 */
public enum HostRole {

	/** Runs a daemon. */
	ENTRY,

	/** Runs an upstream. */
	UPSTREAM

}
