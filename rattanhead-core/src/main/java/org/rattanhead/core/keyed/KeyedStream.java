package org.rattanhead.core.keyed;

/**
 * The streams of keyed records that a daemon uses.
 */
public enum KeyedStream {

	/** What the operators wrote. Read only. */
	OPERATORS,

	/** The entries of upstream instances. Read only. */
	INSTANCES,

	/** The announcements of daemons. */
	MEMBERS

}
