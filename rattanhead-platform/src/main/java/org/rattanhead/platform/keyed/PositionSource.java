package org.rattanhead.platform.keyed;

/**
 * From whom a daemon knows how far a stream goes.
 */
public enum PositionSource {

	/** A read of this daemon. */
	STORE,

	/** An update from another daemon. */
	PEER,

	/** The newest records from another daemon. */
	SNAPSHOT

}
