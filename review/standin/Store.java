import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A stand-in of the platform's store: keyed topics with append, read and newest. */
final class Store implements AutoCloseable {

	private final Map<String, List<byte[]>> topics = new HashMap<>();

	private final ServerSocket listener = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));

	Store() throws IOException {
		Threads.start("store", this::accept);
	}

	InetSocketAddress address() {
		return (InetSocketAddress) this.listener.getLocalSocketAddress();
	}

	synchronized void put(String topic, String key, String value) {
		byte[] keyBytes = key.getBytes(StandardCharsets.UTF_8);
		byte[] valueBytes = value.getBytes(StandardCharsets.UTF_8);
		ByteBuffer record = ByteBuffer.allocate(1 + keyBytes.length + valueBytes.length);
		record.put((byte) keyBytes.length).put(keyBytes).put(valueBytes);
		topic(topic).add(record.array());
		notifyAll();
	}

	private List<byte[]> topic(String name) {
		return this.topics.computeIfAbsent(name, (created) -> new ArrayList<>());
	}

	private void accept() throws IOException {
		while (true) {
			Socket socket = this.listener.accept();
			Threads.start("store-connection", () -> serve(socket));
		}
	}

	private void serve(Socket socket) throws Exception {
		try (socket) {
			socket.setTcpNoDelay(true);
			InputStream in = Http.buffered(socket.getInputStream());
			for (Http.Head head = Http.readHead(in); head != null; head = Http.readHead(in)) {
				byte[] body = Http.readRequestBody(in, head);
				Thread.sleep(4);
				byte[] answer;
				String type = "application/json";
				int status = 200;
				switch (head.path()) {
					case "/rattanhead/log-append" -> answer = append(head, body);
					case "/rattanhead/log-read" -> {
						answer = read(head);
						type = "application/octet-stream";
					}
					case "/rattanhead/log-newest" -> answer = newest(head);
					default -> {
						answer = new byte[0];
						status = 404;
					}
				}
				OutputStream out = socket.getOutputStream();
				out.write(("HTTP/1.1 " + status + " X\r\nContent-Type: " + type + "\r\nContent-Length: "
						+ answer.length + "\r\n\r\n")
					.getBytes(StandardCharsets.UTF_8));
				out.write(answer);
				out.flush();
			}
		}
	}

	private synchronized byte[] append(Http.Head head, byte[] body) {
		List<byte[]> records = topic(head.parameter("Topic"));
		int offset = records.size();
		ByteBuffer bytes = ByteBuffer.wrap(body);
		while (bytes.hasRemaining()) {
			byte[] record = new byte[bytes.getInt()];
			bytes.get(record);
			records.add(record);
		}
		notifyAll();
		return ("{\"Offset\":" + offset + ",\"End\":" + records.size() + "}").getBytes(StandardCharsets.UTF_8);
	}

	private synchronized byte[] read(Http.Head head) throws IOException, InterruptedException {
		List<byte[]> records = topic(head.parameter("Topic"));
		int from = Integer.parseInt(head.parameter("From"));
		String wait = head.parameter("WaitMs");
		long endNanos = System.nanoTime() + 1_000_000L * (wait.isEmpty() ? 0 : Long.parseLong(wait));
		while (records.size() <= from && System.nanoTime() < endNanos) {
			wait(Math.max(1, (endNanos - System.nanoTime()) / 1_000_000L));
		}
		ByteArrayOutputStream body = new ByteArrayOutputStream();
		DataOutputStream out = new DataOutputStream(body);
		out.writeLong(records.size());
		out.writeLong(0);
		for (byte[] record : records.subList(Math.min(from, records.size()), records.size())) {
			out.writeInt(record.length);
			out.write(record);
		}
		return body.toByteArray();
	}

	private synchronized byte[] newest(Http.Head head) {
		List<byte[]> records = topic(head.parameter("Topic"));
		Map<String, String> items = new LinkedHashMap<>();
		for (int offset = 0; offset < records.size(); offset++) {
			byte[] record = records.get(offset);
			String key = new String(record, 1, record[0], StandardCharsets.UTF_8);
			byte[] value = Arrays.copyOfRange(record, 1 + record[0], record.length);
			items.remove(key);
			if (value.length > 0) {
				items.put(key, "{\"Key\":\"" + key + "\",\"Value\":\"" + Base64.getEncoder().encodeToString(value)
						+ "\",\"Offset\":" + offset + "}");
			}
		}
		return ("{\"Items\":[" + String.join(",", items.values()) + "],\"More\":false,\"End\":" + records.size() + "}")
			.getBytes(StandardCharsets.UTF_8);
	}

	@Override
	public void close() throws IOException {
		this.listener.close();
	}

}
