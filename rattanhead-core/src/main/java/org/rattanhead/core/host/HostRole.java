package org.rattanhead.core.host;

/**
 * What a host does.
 */
public enum HostRole {

	/** Runs a daemon. */
	ENTRY,

	/** Runs an upstream. */
	UPSTREAM

}
