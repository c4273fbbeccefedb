package org.rattanhead.core.catalogue;

/**
 * Whether a failure domain accepts new work.
 */
public enum FailureDomainState {

	/** The failure domain accepts new work. */
	IN,

	/** The failure domain accepts no new work; running work finishes. */
	OUT

}
