package org.rattanhead.core.request;

/**
 * What a request can be for.
 */
public enum TargetKind {

	/** A model served by engines. */
	MODEL,

	/** A plain service. */
	SERVICE

}
