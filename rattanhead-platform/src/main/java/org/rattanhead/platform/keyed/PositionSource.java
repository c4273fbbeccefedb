package org.rattanhead.platform.keyed;

/**
 * Who told a daemon how far a stream goes.
 */
public enum PositionSource {

	/** A read of this daemon. */
	STORE,

	/** An update from another daemon. */
	PEER,

	/** The newest records from another daemon. */
	SNAPSHOT

}
