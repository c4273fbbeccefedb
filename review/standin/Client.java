import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;

/** A client with one kept connection. */
final class Client implements AutoCloseable {

	/** How an answer ended. */
	enum End {

		/** The body has its declared length, or its last chunk. */
		COMPLETE,

		/** Neither a length nor chunks were declared, and the connection was closed in order. */
		CLOSED_IN_ORDER,

		/** The connection ended before the declared end, or was reset. */
		BROKEN,

		/** No answer before the time-out. */
		TIMED_OUT

	}

	/** An answer. */
	static final class Answer {

		int status;

		Http.Head head;

		/** When the head arrived, 0 if none did. */
		long headNanos;

		final ByteArrayOutputStream body = new ByteArrayOutputStream();

		End end;

		String detail = "";

		String text() {
			return this.body.toString(StandardCharsets.UTF_8);
		}

		/** Counts the complete events of a stream. */
		int events() {
			int count = 0;
			for (int index = text().indexOf("\n\n"); index >= 0; index = text().indexOf("\n\n", index + 2)) {
				count++;
			}
			return count;
		}

		boolean endsAfterAnEvent() {
			return text().endsWith("\n\n");
		}

	}

	private final Socket socket = new Socket();

	private InputStream in;

	private int keptBytes = Integer.MAX_VALUE;

	Client(InetSocketAddress address) throws IOException {
		this.socket.connect(address, 1_000);
		this.socket.setTcpNoDelay(true);
		this.in = Http.buffered(this.socket.getInputStream());
	}

	void send(String head, String body) throws IOException {
		this.socket.getOutputStream().write((head + body).getBytes(StandardCharsets.UTF_8));
		this.socket.getOutputStream().flush();
	}

	/** Builds the head of a POST with a deadline. */
	static String post(String path, String attempt, long deadlineMillis, String fields, String body) {
		return "POST " + path + " HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: " + attempt
				+ "\r\nX-Deadline-Remaining-Ms: " + deadlineMillis + "\r\nAuthorization: Bearer k1\r\n" + fields
				+ "Content-Length: " + body.length() + "\r\n\r\n";
	}

	Answer receive(int timeoutMillis, Consumer<byte[]> onBytes) {
		Answer answer = new Answer();
		try {
			this.socket.setSoTimeout(timeoutMillis);
			answer.head = Http.readHead(this.in);
			if (answer.head == null) {
				answer.end = End.BROKEN;
				answer.detail = "closed without an answer";
				return answer;
			}
			answer.headNanos = System.nanoTime();
			answer.status = answer.head.status();
			readBody(answer, onBytes);
		}
		catch (java.net.SocketTimeoutException ex) {
			answer.end = End.TIMED_OUT;
			answer.detail = ex.getMessage();
		}
		catch (IOException ex) {
			answer.end = End.BROKEN;
			answer.detail = String.valueOf(ex.getMessage());
		}
		return answer;
	}

	/** Receives an answer, keeps at most one MB of its body and reads on to its end. */
	Answer discard(int timeoutMillis) {
		this.keptBytes = 1_000_000;
		return receive(timeoutMillis, (bytes) -> {
		});
	}

	private void keep(Answer answer, byte[] bytes, int count) {
		if (answer.body.size() < this.keptBytes) {
			answer.body.write(bytes, 0, count);
		}
	}

	private void readBody(Answer answer, Consumer<byte[]> onBytes) throws IOException {
		if (answer.head.field("Transfer-Encoding").equalsIgnoreCase("chunked")) {
			for (byte[] chunk = Http.readChunk(this.in); chunk.length > 0; chunk = Http.readChunk(this.in)) {
				keep(answer, chunk, chunk.length);
				onBytes.accept(chunk);
			}
			answer.end = End.COMPLETE;
		}
		else if (!answer.head.field("Content-Length").isEmpty()) {
			answer.body.write(Http.readExactly(this.in, Integer.parseInt(answer.head.field("Content-Length"))));
			answer.end = End.COMPLETE;
		}
		else {
			byte[] buffer = new byte[8192];
			for (int count = this.in.read(buffer); count >= 0; count = this.in.read(buffer)) {
				keep(answer, buffer, count);
				onBytes.accept(buffer);
			}
			answer.end = End.CLOSED_IN_ORDER;
		}
	}

	@Override
	public void close() throws IOException {
		this.socket.close();
	}

}
