package org.rattanhead.client;

import java.io.IOException;
import java.io.OutputStream;

/**
 * What a server of a test writes to each connection.
 */
@FunctionalInterface
interface WireScript {

	/**
	 * Writes the bytes.
	 * @param out the connection
	 * @throws IOException if the connection was closed
	 */
	void send(OutputStream out) throws IOException;

}
