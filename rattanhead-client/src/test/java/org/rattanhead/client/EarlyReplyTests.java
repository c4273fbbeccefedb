package org.rattanhead.client;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.rattanhead.core.Payload;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * A server replies while a long request body is still being written.
 */
class EarlyReplyTests {

	private static final long TIMEOUT_MILLIS = 10_000;

	private static final int REQUEST_BYTES = 16 * 1024 * 1024;

	private static final int CALLS = 10;

	private static final long WAIT_MILLIS = 500;

	private static final String PART = "part of the body";

	/**
	 * Guards against MIXED: the part of a reply that was sent before its connection was
	 * reset, returned as a complete reply.
	 */
	@ParameterizedTest(name = "fields {0}, {1} ms, then {2}")
	@CsvSource({ "'', 0, reset, BROKEN", "'', 20, reset, BROKEN", "'', 0, close unread, BROKEN",
			"'', 20, close unread, BROKEN", "'', 20, end and read on, 200", "'', 20, end and wait, 200",
			"Connection: close, 0, reset, BROKEN", "Connection: close, 20, reset, BROKEN",
			"Connection: close, 0, close unread, BROKEN", "Connection: close, 20, close unread, BROKEN",
			"Connection: close, 20, end and read on, 200", "Content-Length: 16, 20, end and read on, 200",
			"Content-Length: 17, 20, reset, BROKEN", "Content-Length: 17, 20, end and read on, BROKEN" })
	void returnsEarlyReplyOnlyIfItIsComplete(String field, long delayMillis, String then, String outcome)
			throws Exception {
		String head = "HTTP/1.1 200 OK\r\n" + (field.isEmpty() ? "" : field + "\r\n") + "\r\n";
		try (ServerSocket listener = new ServerSocket(0, 8, InetAddress.getByName("127.0.0.1"));
				HttpClient client = new HttpClient("test", 1)) {
			CompletableFuture.runAsync(() -> serve(listener, head + PART, delayMillis, then));
			for (int index = 0; index < CALLS; index++) {
				HttpCall upload = new HttpCall(new InetSocketAddress("127.0.0.1", listener.getLocalPort()), "POST", "/",
						List.of(), new Payload(new byte[REQUEST_BYTES]), TIMEOUT_MILLIS);
				assertThat(CallOutcome.of(client, upload)).as("call %d", index)
					.isEqualTo(outcome.equals("200") ? outcome + " " + PART : outcome);
			}
		}
	}

	private static void serve(ServerSocket listener, String reply, long delayMillis, String then) {
		for (int index = 0; index < CALLS; index++) {
			try (Socket socket = listener.accept()) {
				InputStream in = socket.getInputStream();
				in.readNBytes(1_024);
				socket.getOutputStream().write(reply.getBytes(StandardCharsets.US_ASCII));
				TimeUnit.MILLISECONDS.sleep(delayMillis);
				if (then.equals("reset")) {
					socket.setSoLinger(true, 0);
				}
				else if (then.equals("end and wait")) {
					socket.shutdownOutput();
					TimeUnit.MILLISECONDS.sleep(WAIT_MILLIS);
				}
				else if (then.equals("end and read on")) {
					socket.shutdownOutput();
					in.transferTo(OutputStream.nullOutputStream());
				}
			}
			catch (IOException ex) {
				// The client closed the connection.
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		}
	}

}
