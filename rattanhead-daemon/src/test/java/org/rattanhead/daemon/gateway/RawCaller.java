package org.rattanhead.daemon.gateway;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Locale;

/**
 * A caller that sends and reads HTTP/1.1 as text on a plain socket.
 */
public final class RawCaller implements AutoCloseable {

	private static final int TIMEOUT_MILLIS = 8_000;

	private final Socket socket;

	/**
	 * Connects.
	 * @param address the address of the server
	 * @throws IOException if the connection cannot be established
	 */
	public RawCaller(InetSocketAddress address) throws IOException {
		this.socket = new Socket(address.getAddress(), address.getPort());
		this.socket.setSoTimeout(TIMEOUT_MILLIS);
		this.socket.setTcpNoDelay(true);
	}

	/**
	 * Builds a request.
	 * @param method the method
	 * @param path the path
	 * @param attempt the id of the attempt
	 * @param body the body
	 * @param fields further header fields
	 * @return the request, as sent on the wire
	 */
	public static String request(String method, String path, String attempt, String body, String... fields) {
		return method + " " + path + " HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: " + attempt
				+ "\r\nX-Deadline-Remaining-Ms: 5000\r\nAuthorization: Bearer k1\r\n"
				+ String.join("", Arrays.stream(fields).map((field) -> field + "\r\n").toList())
				+ (body.isEmpty() ? "" : "Content-Length: " + body.length() + "\r\n") + "\r\n" + body;
	}

	/**
	 * Sends bytes.
	 * @param bytes the bytes, as text
	 * @return this caller
	 * @throws IOException if the connection broke
	 */
	public RawCaller send(String bytes) throws IOException {
		this.socket.getOutputStream().write(bytes.getBytes(StandardCharsets.UTF_8));
		return this;
	}

	/**
	 * Reads one answer.
	 * @return the answer with its head; if the connection was closed first, the text
	 * received until then, followed by {@code <closed>}
	 * @throws IOException if the connection broke or the read timed out
	 */
	public String answer() throws IOException {
		InputStream in = this.socket.getInputStream();
		ByteArrayOutputStream out = new ByteArrayOutputStream();
		String text = "";
		while (!isComplete(text)) {
			int next = in.read();
			if (next < 0) {
				return text + "<closed>";
			}
			out.write(next);
			text = out.toString(StandardCharsets.UTF_8);
		}
		return text;
	}

	/**
	 * Reads the head of an answer.
	 * @return the head with the empty line at its end; if the connection was closed
	 * first, the text received until then, followed by {@code <closed>}
	 * @throws IOException if the connection broke or the read timed out
	 */
	public String head() throws IOException {
		StringBuilder text = new StringBuilder();
		while (text.indexOf("\r\n\r\n") < 0) {
			int next = this.socket.getInputStream().read();
			if (next < 0) {
				return text + "<closed>";
			}
			text.append((char) next);
		}
		return text.toString();
	}

	/**
	 * Reads until the server ends the connection.
	 * @return the text; if the connection was reset, followed by {@code <reset>}
	 */
	public String allUntilEnd() {
		ByteArrayOutputStream out = new ByteArrayOutputStream();
		try {
			this.socket.getInputStream().transferTo(out);
			return out.toString(StandardCharsets.UTF_8);
		}
		catch (IOException ex) {
			return out.toString(StandardCharsets.UTF_8) + "<reset>";
		}
	}

	private static boolean isComplete(String text) {
		int end = text.indexOf("\r\n\r\n");
		if (end < 0) {
			return false;
		}
		String head = text.substring(0, end).toLowerCase(Locale.ROOT);
		if (head.contains("transfer-encoding: chunked")) {
			return text.endsWith("0\r\n\r\n");
		}
		int length = head.indexOf("content-length: ");
		if (length < 0) {
			return true;
		}
		String digits = head.substring(length + "content-length: ".length()).split("\r\n")[0].trim();
		return text.length() - end - 4 >= Integer.parseInt(digits);
	}

	@Override
	public void close() throws IOException {
		this.socket.close();
	}

}
