package org.rattanhead.peer.internal;

/**
 * Which end opened a link.
 */
public enum LinkDirection {

	/** This daemon dialled. */
	DIALLED,

	/** The other daemon dialled. */
	ACCEPTED

}
