package org.rattanhead.client;

/**
 * How a call gets its connection.
 *
 * @param fresh whether a connection that carried other calls is not to be used
 * @param connectMillis how long a new connection may take, in milliseconds; 0 for as long
 * as the call
 */
public record ConnectPolicy(boolean fresh, long connectMillis) {

	/** Any connection, for as long as the call may take. */
	public static final ConnectPolicy ANY = new ConnectPolicy(false, 0);

}
