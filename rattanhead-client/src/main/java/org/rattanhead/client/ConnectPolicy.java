package org.rattanhead.client;

/**
 * How a call gets its connection.
 *
 * @param fresh whether to open a new connection instead of reusing an idle one
 * @param connectMillis the connect timeout, in milliseconds; 0 for no limit other than
 * the timeout of the call
 */
public record ConnectPolicy(boolean fresh, long connectMillis) {

	/** Reuses idle connections and sets no separate connect timeout. */
	public static final ConnectPolicy ANY = new ConnectPolicy(false, 0);

}
