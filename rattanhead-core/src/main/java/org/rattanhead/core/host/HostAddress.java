package org.rattanhead.core.host;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.rattanhead.core.problem.RemedyException;

/**
 * Parses addresses of the form IP:PORT. Host names are rejected, so that no DNS look-up
 * blocks.
 */
public final class HostAddress {

	private static final String OCTET = "(?:25[0-5]|2[0-4]\\d|1\\d\\d|[1-9]?\\d)";

	private static final Pattern IP_PORT_PATTERN = Pattern
		.compile("(" + OCTET + "(?:\\." + OCTET + "){3}|\\[[0-9a-fA-F:]+\\]):(\\d{1,5})");

	private static final int MAX_PORT = 65_535;

	private HostAddress() {
	}

	/**
	 * Returns whether text is a valid address.
	 * @param text the text
	 * @return true if it is of the form IP:PORT
	 */
	public static boolean valid(String text) {
		return find(text).isPresent();
	}

	/**
	 * Parses an address.
	 * @param text an IP address and a port, such as 127.0.0.1:9001
	 * @return the socket address
	 */
	public static InetSocketAddress parse(String text) {
		return find(text).orElseThrow(() -> new RemedyException("'" + text + "' is not an address",
				"write an IP address and a port from 1 to 65535, such as 127.0.0.1:9001"));
	}

	private static Optional<InetSocketAddress> find(String text) {
		Matcher matcher = IP_PORT_PATTERN.matcher(text);
		if (!matcher.matches()) {
			return Optional.empty();
		}
		int port = Integer.parseInt(matcher.group(2));
		if (port < 1 || port > MAX_PORT) {
			return Optional.empty();
		}
		try {
			// A literal in brackets is parsed without a look-up.
			return Optional.of(new InetSocketAddress(InetAddress.getByName(matcher.group(1)), port));
		}
		catch (UnknownHostException ex) {
			return Optional.empty();
		}
	}

}
