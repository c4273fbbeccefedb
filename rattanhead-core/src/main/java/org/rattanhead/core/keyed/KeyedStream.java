package org.rattanhead.core.keyed;

/**
 * The streams of keyed records that a daemon uses.
 */
public enum KeyedStream {

	/** The records that operators write. Read-only for daemons. */
	OPERATORS,

	/** The registrations of upstream instances. Read-only for daemons. */
	INSTANCES,

	/** The announcements of daemons, and the suspects that they block. */
	MEMBERS

}
