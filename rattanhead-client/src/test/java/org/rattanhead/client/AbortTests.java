package org.rattanhead.client;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import org.rattanhead.core.Payload;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/**
 * Aborting a call makes the server's writes fail, also when the server does not read.
 */
class AbortTests {

	private static final String RESPONSE_HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

	private static final String CHUNK = "5\r\nevent\r\n";

	private final ReplyObserver ignoringObserver = new ReplyObserver() {
		@Override
		public void onHead(HttpHead head) {
			// Ignored.
		}

		@Override
		public boolean onBytes(Payload bytes) {
			return true;
		}

		@Override
		public void onEnd() {
			// Ignored.
		}

		@Override
		public void onFailure(CallFailure failure, String detail) {
			// Ignored.
		}
	};

	@ParameterizedTest(name = "aborted after {0} ms")
	@ValueSource(longs = { 100, 300 })
	void serverWritesFailAfterAbort(long millis) throws Exception {
		try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
				HttpClient caller = new HttpClient("test", 1)) {
			CompletableFuture<Long> writeFailureNanos = CompletableFuture
				.supplyAsync(() -> writeUntilFailure(listener));
			OngoingCall call = caller.start(
					HttpCall.get(new InetSocketAddress("127.0.0.1", listener.getLocalPort()), "/", 20_000),
					this.ignoringObserver);
			TimeUnit.MILLISECONDS.sleep(millis);
			long abortedNanos = System.nanoTime();
			call.abort();
			assertThat(writeFailureNanos.get(5, TimeUnit.SECONDS) - abortedNanos).as("time to the first failed write")
				.isLessThan(TimeUnit.MILLISECONDS.toNanos(500));
		}
	}

	/**
	 * Guards against GONE: a server worked on for a caller that had left, since the
	 * connection was closed only after the server had closed it.
	 */
	@ParameterizedTest(name = "aborted after {0} ms")
	@ValueSource(longs = { 0, 100, 300 })
	void serverThatHasSentNothingSeesAReset(long millis) throws Exception {
		try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
				HttpClient caller = new HttpClient("test", 1)) {
			CompletableFuture<Boolean> received = new CompletableFuture<>();
			CompletableFuture<String> end = CompletableFuture.supplyAsync(() -> readToEnd(listener, received));
			OngoingCall call = caller.start(
					HttpCall.get(new InetSocketAddress("127.0.0.1", listener.getLocalPort()), "/", 20_000),
					this.ignoringObserver);
			received.get(5, TimeUnit.SECONDS);
			TimeUnit.MILLISECONDS.sleep(millis);
			call.abort();
			assertThat(end.get(5, TimeUnit.SECONDS)).isEqualTo("reset");
		}
	}

	/**
	 * Guards against a server that keeps working for a call that has reached its
	 * deadline, or whose client has stopped.
	 */
	@ParameterizedTest(name = "timeout {0} ms, client closed: {1}")
	@CsvSource({ "300, false", "20000, true" })
	void serverSeesTheEndOfACallThatIsNotAborted(long timeoutMillis, boolean close) throws Exception {
		try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
				HttpClient caller = new HttpClient("test", 1)) {
			CompletableFuture<Boolean> received = new CompletableFuture<>();
			CompletableFuture<String> end = CompletableFuture.supplyAsync(() -> readToEnd(listener, received));
			caller.start(HttpCall.get(new InetSocketAddress("127.0.0.1", listener.getLocalPort()), "/", timeoutMillis),
					this.ignoringObserver);
			received.get(5, TimeUnit.SECONDS);
			if (close) {
				caller.close();
			}
			assertThat(end.get(5, TimeUnit.SECONDS)).isIn("reset", "orderly close");
		}
	}

	/**
	 * Guards against an end of stream in place of a reset while a request body is
	 * written, which a server may take for a caller that still awaits its answer.
	 */
	@ParameterizedTest(name = "body of {0} bytes")
	@ValueSource(ints = { 16 * 1024 * 1024 })
	void serverThatDoesNotReadTheBodySeesAReset(int bytes) throws Exception {
		try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
				HttpClient caller = new HttpClient("test", 1)) {
			HttpCall upload = new HttpCall(new InetSocketAddress("127.0.0.1", listener.getLocalPort()), "POST", "/",
					List.of(), new Payload(new byte[bytes]), 20_000);
			OngoingCall call = caller.start(upload, this.ignoringObserver);
			try (Socket socket = listener.accept()) {
				assertThat(socket.getInputStream().read()).isNotNegative();
				call.abort();
				socket.setSoTimeout(5_000);
				assertThatThrownBy(() -> socket.getInputStream().readAllBytes()).isInstanceOf(SocketException.class);
			}
		}
	}

	private static String readToEnd(ServerSocket listener, CompletableFuture<Boolean> received) {
		try (Socket socket = listener.accept()) {
			InputStream in = socket.getInputStream();
			for (int next = in.read(); next >= 0; next = in.read()) {
				received.complete(true);
			}
			return "orderly close";
		}
		catch (IOException ex) {
			return "reset";
		}
	}

	private static long writeUntilFailure(ServerSocket listener) {
		try (Socket socket = listener.accept()) {
			InputStream in = socket.getInputStream();
			assertThat(in.read()).isNotNegative();
			socket.getOutputStream().write(RESPONSE_HEAD.getBytes(StandardCharsets.US_ASCII));
			for (int chunk = 0; chunk < 200; chunk++) {
				socket.getOutputStream().write(CHUNK.getBytes(StandardCharsets.US_ASCII));
				TimeUnit.MILLISECONDS.sleep(20);
			}
			return Long.MAX_VALUE;
		}
		catch (IOException ex) {
			return System.nanoTime();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return Long.MAX_VALUE;
		}
	}

}
