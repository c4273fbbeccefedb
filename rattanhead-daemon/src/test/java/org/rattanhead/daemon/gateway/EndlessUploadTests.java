package org.rattanhead.daemon.gateway;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.rattanhead.adapter.standin.RawServer;
import org.rattanhead.adapter.standin.StoreStandin;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Callers send bodies without pause; the requests of others are answered as before, by a
 * gateway process with a small heap.
 */
class EndlessUploadTests {

	private static final int UPLOADS = 6;

	/** Half of the time in which the body of a request has to arrive. */
	private static final int MAX_FRAMING_SECONDS = 5;

	/**
	 * Guards against CONFIG: a body of one caller that keeps the I/O thread for itself.
	 */
	@ParameterizedTest(name = "chunks of {0} bytes")
	@CsvSource({ "1", "1000", "60000" })
	void answersOthersBesideBodiesWithoutEnd(int chunkBytes, @TempDir Path folder) throws Exception {
		List<Socket> uploads = new ArrayList<>();
		try (StoreStandin store = new StoreStandin(); RawServer sound = new RawServer(Lookups::answer)) {
			GatewayRig.configure(store, 1, "");
			GatewayRig.register(store, 0, sound.address(), "ready");
			try (GatewayProcess gateway = new GatewayProcess(folder, "self", store.server().address())) {
				Lookups.awaitFirst(gateway);
				for (int index = 0; index < UPLOADS; index++) {
					uploads.add(startUpload(gateway, "u" + index, chunkBytes));
				}
				Lookups.assertAnswered(gateway);
				assertThat(gateway.log()).doesNotContain("OutOfMemoryError");
			}
		}
		finally {
			for (Socket upload : uploads) {
				upload.close();
			}
		}
	}

	/**
	 * Guards against LOST: a trailer without end, which the HTTP library kept until the
	 * memory was full.
	 */
	@ParameterizedTest(name = "{0}")
	@CsvSource({ "chunk size, '', 0", "chunk extension, 5;, x", "trailer, '0\\r\\nA: ', x",
			"trailers, '0\\r\\n', 'A: b\\r\\n'" })
	void endsBodiesWithFramingWithoutEnd(String place, String start, String repeated, @TempDir Path folder)
			throws Exception {
		try (StoreStandin store = new StoreStandin(); RawServer sound = new RawServer(Lookups::answer)) {
			GatewayRig.configure(store, 1, "");
			GatewayRig.register(store, 0, sound.address(), "ready");
			try (GatewayProcess gateway = new GatewayProcess(folder, "self", store.server().address())) {
				Lookups.awaitFirst(gateway);
				CountDownLatch ended = new CountDownLatch(UPLOADS);
				for (int index = 0; index < UPLOADS; index++) {
					startUpload(gateway, "u" + index, unescape(start), unescape(repeated), ended::countDown);
				}
				Lookups.assertAnswered(gateway);
				assertThat(ended.await(MAX_FRAMING_SECONDS, TimeUnit.SECONDS)).as("uploads were closed").isTrue();
				assertThat(gateway.log()).doesNotContain("OutOfMemoryError");
			}
		}
	}

	private static String unescape(String text) {
		return text.replace("\\r", "\r").replace("\\n", "\n");
	}

	private static Socket startUpload(GatewayProcess gateway, String attempt, int chunkBytes) throws IOException {
		return startUpload(gateway, attempt, "",
				Integer.toHexString(chunkBytes) + "\r\n" + "x".repeat(chunkBytes) + "\r\n", () -> {
				});
	}

	private static Socket startUpload(GatewayProcess gateway, String attempt, String start, String repeated,
			Runnable onEnd) throws IOException {
		Socket socket = new Socket(gateway.callersAddress().getAddress(), gateway.callersAddress().getPort());
		OutputStream out = socket.getOutputStream();
		out.write(("POST /look/" + attempt + " HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: " + attempt
				+ "\r\nX-Deadline-Remaining-Ms: 9000\r\nAuthorization: Bearer k1\r\n"
				+ "Transfer-Encoding: chunked\r\n\r\n" + start)
			.getBytes(StandardCharsets.US_ASCII));
		byte[] block = repeated.repeat(Math.max(1, 60_000 / repeated.length())).getBytes(StandardCharsets.US_ASCII);
		Thread thread = new Thread(() -> {
			sendUntilClosed(out, block);
			onEnd.run();
		}, "upload");
		thread.setDaemon(true);
		thread.start();
		return socket;
	}

	private static void sendUntilClosed(OutputStream out, byte[] block) {
		try {
			while (true) {
				out.write(block);
			}
		}
		catch (IOException ex) {
			// The gateway or the test closed the connection.
		}
	}

}
