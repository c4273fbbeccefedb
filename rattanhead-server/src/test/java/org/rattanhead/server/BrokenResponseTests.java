package org.rattanhead.server;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;

import io.undertow.Undertow;
import io.undertow.util.SameThreadExecutor;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.rattanhead.core.Payload;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * The end of a response of unknown length, as written for both front ends.
 */
class BrokenResponseTests {

	private static final String BODY = "data: e1\n\n";

	/** Guards against ORDER and MIXED: a response that is cut and looks complete. */
	@ParameterizedTest(name = "{0}, {1}: {2}")
	@CsvSource({ "HTTP/1.1, keep-alive, LAST_CHUNK_MISSING", "HTTP/1.1, close, LAST_CHUNK_MISSING",
			"HTTP/1.0, close, RESET" })
	void abortedResponseDoesNotLookComplete(String protocol, String connection, ObservedEnd end) throws Exception {
		assertThat(end(receive(protocol, connection, ResponseWriter::abort))).isEqualTo(end);
	}

	@ParameterizedTest(name = "{0}, {1}: {2}")
	@CsvSource({ "HTTP/1.1, close, LAST_CHUNK", "HTTP/1.0, close, CLOSE" })
	void completeResponseLooksComplete(String protocol, String connection, ObservedEnd end) throws Exception {
		assertThat(end(receive(protocol, connection, ResponseWriter::end))).isEqualTo(end);
	}

	private static String receive(String protocol, String connection, Consumer<ResponseWriter> end) throws Exception {
		Undertow server = Undertow.builder()
			.setIoThreads(1)
			.setWorkerThreads(1)
			.addHttpListener(0, "127.0.0.1")
			.setHandler((exchange) -> exchange.dispatch(SameThreadExecutor.INSTANCE, () -> {
				ResponseWriter writer = new ResponseWriter(exchange, () -> {
				});
				writer.write(Payload.of(BODY));
				end.accept(writer);
			}))
			.build();
		server.start();
		InetSocketAddress address = (InetSocketAddress) server.getListenerInfo().get(0).getAddress();
		ByteArrayOutputStream received = new ByteArrayOutputStream();
		try (Socket socket = new Socket("127.0.0.1", address.getPort())) {
			socket.getOutputStream()
				.write(("GET / " + protocol + "\r\nHost: h\r\nConnection: " + connection + "\r\n\r\n")
					.getBytes(StandardCharsets.US_ASCII));
			socket.getInputStream().transferTo(received);
			return received.toString(StandardCharsets.US_ASCII);
		}
		catch (IOException ex) {
			return received.toString(StandardCharsets.US_ASCII) + "<reset>";
		}
		finally {
			server.stop();
		}
	}

	private static ObservedEnd end(String received) {
		assertThat(received).contains(BODY);
		if (received.endsWith("<reset>")) {
			return ObservedEnd.RESET;
		}
		if (!received.contains("Transfer-Encoding: chunked")) {
			return ObservedEnd.CLOSE;
		}
		return received.endsWith("0\r\n\r\n") ? ObservedEnd.LAST_CHUNK : ObservedEnd.LAST_CHUNK_MISSING;
	}

}
