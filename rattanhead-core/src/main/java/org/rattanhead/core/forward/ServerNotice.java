package org.rattanhead.core.forward;

/**
 * What an instance says of itself in an answer.
 *
 * @param leaving whether it is about to leave and takes no new work
 * @param quietMillis how long it wants no requests from this daemon, in milliseconds; 0
 * if it says nothing of that
 */
public record ServerNotice(boolean leaving, long quietMillis) {

	/** The notice of an answer that says nothing. */
	public static final ServerNotice NONE = new ServerNotice(false, 0);

}
