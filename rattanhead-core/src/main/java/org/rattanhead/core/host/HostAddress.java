package org.rattanhead.core.host;

import java.net.InetSocketAddress;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.rattanhead.core.problem.RemedyException;

/**
 * Parses addresses of the form IP:PORT. Host names are rejected, so that no DNS look-up
 * blocks.
 */
public final class HostAddress {

	private static final Pattern IP_PORT_PATTERN = Pattern
		.compile("(\\d{1,3}\\.\\d{1,3}\\.\\d{1,3}\\.\\d{1,3}|\\[[0-9a-fA-F:]+\\]):(\\d{1,5})");

	private static final int MAX_PORT = 65_535;

	private HostAddress() {
	}

	/**
	 * Returns whether text is a valid address.
	 * @param text the text
	 * @return true if it is of the form IP:PORT
	 */
	public static boolean valid(String text) {
		Matcher matcher = IP_PORT_PATTERN.matcher(text);
		return matcher.matches() && Integer.parseInt(matcher.group(2)) <= MAX_PORT;
	}

	/**
	 * Parses an address.
	 * @param text an IP address and a port, such as 127.0.0.1:9001
	 * @return the socket address
	 */
	public static InetSocketAddress parse(String text) {
		Matcher matcher = IP_PORT_PATTERN.matcher(text);
		if (!matcher.matches() || Integer.parseInt(matcher.group(2)) > MAX_PORT) {
			throw new RemedyException("'" + text + "' is not an address",
					"write an IP address and a port, such as 127.0.0.1:9001");
		}
		return new InetSocketAddress(matcher.group(1), Integer.parseInt(matcher.group(2)));
	}

}
