package org.rattanhead.core.catalogue;

/**
 * Whether a failure domain takes new work.
 */
public enum FailureDomainState {

	/** The failure domain takes new work. */
	IN,

	/** The failure domain takes no new work; what runs there finishes. */
	OUT

}
