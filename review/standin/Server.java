import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A stand-in of a server. It registers in the store, answers 421 to requests that expect another
 * instance, and hands all other requests to its script.
 */
final class Server implements AutoCloseable {

	static final int HEARTBEAT_MS = 1_200;

	/** Answers a request. */
	interface Script {

		void run(Server server, Http.Head head, byte[] body, OutputStream out) throws Exception;

	}

	final String id;

	private final String service;

	private final int slots;

	private final Store store;

	private final Record record;

	private final Script script;

	private final long bornMillis = System.currentTimeMillis();

	private final ServerSocket listener = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));

	private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

	private volatile boolean running = true;

	private int sequence;

	Server(String id, String service, int slots, Store store, Record record, Script script) throws IOException {
		this.id = id;
		this.service = service;
		this.slots = slots;
		this.store = store;
		this.record = record;
		this.script = script;
		Threads.start(id, this::accept);
		Threads.start(id + "-heartbeat", this::register);
	}

	private void register() throws Exception {
		while (this.running) {
			this.sequence++;
			this.store.put("keyed.servers", this.id, ("{'Service':'" + this.service + "','Address':'127.0.0.1:"
					+ ((InetSocketAddress) this.listener.getLocalSocketAddress()).getPort()
					+ "','Zone':'z1','Version':1,'Slots':" + this.slots
					+ ",'State':'ready','ColdRemainingMs':0,'Sequence':" + this.sequence + ",'born':" + this.bornMillis
					+ "}")
				.replace('\'', '"'));
			Thread.sleep(HEARTBEAT_MS);
		}
	}

	private void accept() throws IOException {
		while (this.running) {
			Socket socket = this.listener.accept();
			this.sockets.add(socket);
			Threads.start(this.id + "-connection", () -> serve(socket));
		}
	}

	private void serve(Socket socket) throws Exception {
		try (socket) {
			socket.setTcpNoDelay(true);
			InputStream in = Http.buffered(socket.getInputStream());
			OutputStream out = socket.getOutputStream();
			for (Http.Head head = Http.readHead(in); head != null; head = Http.readHead(in)) {
				byte[] body = Http.readRequestBody(in, head);
				if (!head.field("X-Expect-Instance").isEmpty() && !head.field("X-Expect-Instance").equals(this.id)) {
					write(out, 421, head, "X-Not-Executed: 1\r\n", "");
					continue;
				}
				if (head.path().equals("/healthz")) {
					write(out, 200, head, "X-Instance-Id: " + this.id + "\r\n", "");
					continue;
				}
				if (head.path().equals("/rattanhead/order")) {
					write(out, 200, head, "Content-Type: application/json\r\n", "{\"Free\":400000}");
					continue;
				}
				this.script.run(this, head, body, out);
			}
		}
		catch (Exception ex) {
			this.record.add("server %s: connection ended: %s", this.id, ex.getMessage());
		}
		finally {
			this.sockets.remove(socket);
		}
	}

	/** Ends like a process that was killed: no entry is removed, the connections end. */
	void crash() throws IOException {
		this.running = false;
		this.listener.close();
		for (Socket socket : this.sockets) {
			socket.close();
		}
	}

	static void write(OutputStream out, int status, Http.Head request, String fields, String body) throws IOException {
		out.write(("HTTP/1.1 " + status + " X\r\nX-Attempt-Id: " + request.field("X-Attempt-Id") + "\r\n" + fields
				+ "Content-Length: " + body.length() + "\r\n\r\n" + body)
			.getBytes(StandardCharsets.UTF_8));
		out.flush();
	}

	static void beginStream(OutputStream out, Http.Head request) throws IOException {
		out.write(("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + request.field("X-Attempt-Id")
				+ "\r\nX-Response-Signature: s1\r\nContent-Type: text/event-stream\r\n"
				+ "Transfer-Encoding: chunked\r\n\r\n")
			.getBytes(StandardCharsets.UTF_8));
		out.flush();
	}

	static void chunk(OutputStream out, String text) throws IOException {
		out.write((Integer.toHexString(text.length()) + "\r\n" + text + "\r\n").getBytes(StandardCharsets.UTF_8));
		out.flush();
	}

	static void endStream(OutputStream out) throws IOException {
		out.write("0\r\n\r\n".getBytes(StandardCharsets.UTF_8));
		out.flush();
	}

	@Override
	public void close() throws IOException {
		crash();
	}

}
