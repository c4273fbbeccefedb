package org.rattanhead.core.forward;

import java.util.OptionalDouble;

/**
 * What an instance says of itself in an answer.
 *
 * @param leaving whether it is about to leave and takes no new work
 * @param quietMillis how long it wants no requests from this daemon, in milliseconds; 0
 * if it says nothing of that
 * @param limitPerSecond the requests a second that it takes from all daemons together,
 * empty if it names no limit
 */
public record ServerNotice(boolean leaving, long quietMillis, OptionalDouble limitPerSecond) {

	/** The notice of an answer that says nothing. */
	public static final ServerNotice NONE = new ServerNotice(false, 0);

	/**
	 * Creates a notice without a limit.
	 * @param leaving whether the instance is about to leave
	 * @param quietMillis how long it wants no requests, in milliseconds
	 */
	public ServerNotice(boolean leaving, long quietMillis) {
		this(leaving, quietMillis, OptionalDouble.empty());
	}

}
