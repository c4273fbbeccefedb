package org.rattanhead.core.request;

/**
 * The kinds of targets of requests.
 */
public enum TargetKind {

	/** A model served by engines. */
	MODEL,

	/** A plain service. */
	SERVICE

}
