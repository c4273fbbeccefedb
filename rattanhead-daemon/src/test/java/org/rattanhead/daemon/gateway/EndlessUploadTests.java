package org.rattanhead.daemon.gateway;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

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

	private static Socket startUpload(GatewayProcess gateway, String attempt, int chunkBytes) throws IOException {
		Socket socket = new Socket(gateway.callersAddress().getAddress(), gateway.callersAddress().getPort());
		OutputStream out = socket.getOutputStream();
		out.write(("POST /look/" + attempt + " HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: " + attempt
				+ "\r\nX-Deadline-Remaining-Ms: 9000\r\nAuthorization: Bearer k1\r\n"
				+ "Transfer-Encoding: chunked\r\n\r\n")
			.getBytes(StandardCharsets.US_ASCII));
		byte[] block = (Integer.toHexString(chunkBytes) + "\r\n" + "x".repeat(chunkBytes) + "\r\n")
			.repeat(Math.max(1, 60_000 / chunkBytes))
			.getBytes(StandardCharsets.US_ASCII);
		Thread thread = new Thread(() -> sendUntilClosed(out, block), "upload");
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
