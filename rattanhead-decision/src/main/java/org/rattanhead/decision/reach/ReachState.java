package org.rattanhead.decision.reach;

/**
 * What a daemon knows of its links to the instances.
 */
public enum ReachState {

	/** Instances answer, or nothing was sent to them. */
	REACHING,

	/** Attempts failed as if the links were lost; probes decide. */
	SUSPECTED,

	/** No probed instance answers this daemon, while instances answer other daemons. */
	STRANDED

}
