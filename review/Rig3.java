import java.io.*;
import java.net.*;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.*;
import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.*;
import java.util.function.*;

/**
 * Stand-ins for the platform's store, servers and clients, and gateways in separate
 * processes, for the scripts of the third review. All addresses are loopback addresses.
 */
final class Rig3 implements AutoCloseable {

	static final String OPERATORS = "keyed.op";

	static final String SERVERS = "keyed.servers";

	static final long START_NANOS = System.nanoTime();

	private static final AtomicInteger NEXT_PORT = new AtomicInteger(12_000 + new Random().nextInt(15_000));

	final Store store = new Store();

	final List<Gateway> gateways = new ArrayList<>();

	final List<Server> servers = new ArrayList<>();

	private final Path folder;

	private final PrintWriter record;

	Rig3(Path recordFile) throws IOException {
		this.folder = Files.createTempDirectory("review-3-");
		this.record = new PrintWriter(Files.newBufferedWriter(recordFile), true);
		Runtime.getRuntime().addShutdownHook(new Thread(() -> this.gateways.forEach(Gateway::kill)));
	}

	static boolean trouble() {
		return !"0".equals(System.getenv("TROUBLE"));
	}

	static long millis() {
		return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - START_NANOS);
	}

	synchronized void log(String text) {
		this.record.printf("%8.3f s  %s%n", millis() / 1000.0, text);
	}

	static int freePort() throws IOException {
		for (int attempt = 0; attempt < 1_000; attempt++) {
			int port = NEXT_PORT.getAndIncrement();
			try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
				return socket.getLocalPort();
			}
			catch (BindException ex) {
				// In use; the next one is tried.
			}
		}
		throw new IOException("no free port");
	}

	static void pause(long millis) {
		try {
			Thread.sleep(Math.max(0, millis));
		}
		catch (InterruptedException ex) {
			throw new IllegalStateException(ex);
		}
	}

	static Thread run(Runnable action) {
		Thread thread = new Thread(null, action, "rig", 256 * 1024);
		thread.setDaemon(true);
		thread.start();
		return thread;
	}

	/** A request as read from a connection. */
	record Request(String method, String target, Map<String, String> headers, byte[] body, List<String> lines) {

		String header(String name) {
			return this.headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
		}

	}

	/** Reads a line that ends with LF; null at the end of the stream. */
	static String readLine(InputStream in) throws IOException {
		ByteArrayOutputStream line = new ByteArrayOutputStream();
		for (int next = in.read(); next >= 0; next = in.read()) {
			if (next == '\n') {
				String text = line.toString(StandardCharsets.ISO_8859_1);
				return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
			}
			line.write(next);
		}
		return null;
	}

	static Request readHead(InputStream in) throws IOException {
		String first = readLine(in);
		if (first == null || first.isEmpty()) {
			return null;
		}
		Map<String, String> headers = new HashMap<>();
		List<String> lines = new ArrayList<>();
		lines.add(first);
		for (String line = readLine(in); line != null && !line.isEmpty(); line = readLine(in)) {
			lines.add(line);
			int colon = line.indexOf(':');
			headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
		}
		int firstSpace = first.indexOf(' ');
		int lastSpace = first.lastIndexOf(' ');
		return new Request(first.substring(0, firstSpace), first.substring(firstSpace + 1, lastSpace), headers,
				new byte[0], lines);
	}

	static Request readRequest(InputStream in) throws IOException {
		Request head = readHead(in);
		if (head == null) {
			return null;
		}
		byte[] body = readBody(in, head.headers());
		return new Request(head.method(), head.target(), head.headers(), body, head.lines());
	}

	static byte[] readBody(InputStream in, Map<String, String> headers) throws IOException {
		if (headers.containsKey("content-length")) {
			int length = Integer.parseInt(headers.get("content-length"));
			byte[] body = in.readNBytes(length);
			if (body.length < length) {
				throw new EOFException("body cut");
			}
			return body;
		}
		ByteArrayOutputStream body = new ByteArrayOutputStream();
		if (headers.getOrDefault("transfer-encoding", "").equalsIgnoreCase("chunked")) {
			while (true) {
				String line = readLine(in);
				if (line == null) {
					throw new EOFException("chunks cut");
				}
				int size = Integer.parseInt(line.split(";")[0].trim(), 16);
				byte[] chunk = in.readNBytes(size);
				if (chunk.length < size) {
					throw new EOFException("chunk cut");
				}
				body.writeBytes(chunk);
				readLine(in);
				if (size == 0) {
					break;
				}
			}
		}
		return body.toByteArray();
	}

	/** Writes an answer, or anything else, to a connection. */
	interface Handler {

		/** Handles a request; returns false to close the connection. */
		boolean handle(Request request, Socket socket, InputStream in, OutputStream out) throws Exception;

	}

	static void send(OutputStream out, String text) throws IOException {
		out.write(text.getBytes(StandardCharsets.ISO_8859_1));
		out.flush();
	}

	static void reset(Socket socket) {
		try {
			socket.setSoLinger(true, 0);
			socket.close();
		}
		catch (IOException ex) {
			// Closed already.
		}
	}

	/** Accepts connections and serves each with a thread. */
	static class Listener implements AutoCloseable {

		final ServerSocket socket;

		final Set<Socket> open = ConcurrentHashMap.newKeySet();

		Listener(int port, BiConsumer<Socket, Listener> serve) throws IOException {
			this.socket = new ServerSocket();
			this.socket.setReuseAddress(true);
			this.socket.bind(new InetSocketAddress("127.0.0.1", port), 500);
			run(() -> {
				while (!this.socket.isClosed()) {
					try {
						Socket accepted = this.socket.accept();
						accepted.setTcpNoDelay(true);
						this.open.add(accepted);
						run(() -> {
							try {
								serve.accept(accepted, this);
							}
							finally {
								this.open.remove(accepted);
								try {
									accepted.close();
								}
								catch (IOException ex) {
									// Closed already.
								}
							}
						});
					}
					catch (IOException ex) {
						return;
					}
				}
			});
		}

		int port() {
			return this.socket.getLocalPort();
		}

		@Override
		public void close() {
			try {
				this.socket.close();
			}
			catch (IOException ex) {
				// Closed already.
			}
			this.open.forEach(Rig3::reset);
		}

	}

	/** The platform's store as a log. */
	final class Store {

		private record Entry(long offset, String key, byte[] value) {
		}

		private final Map<String, List<Entry>> logs = new HashMap<>();

		private final Map<String, Long> ends = new HashMap<>();

		private final Map<String, TreeMap<String, Entry>> newest = new HashMap<>();

		private long era = 0;

		synchronized void put(String topic, String key, String value) {
			append(topic, key, value.getBytes(StandardCharsets.UTF_8));
		}

		synchronized void delete(String topic, String key) {
			append(topic, key, new byte[0]);
		}

		private long append(String topic, String key, byte[] value) {
			long offset = this.ends.merge(topic, 1L, Long::sum) - 1;
			Entry entry = new Entry(offset, key, value);
			this.logs.computeIfAbsent(topic, (name) -> new ArrayList<>()).add(entry);
			TreeMap<String, Entry> keys = this.newest.computeIfAbsent(topic, (name) -> new TreeMap<>());
			if (value.length == 0) {
				keys.remove(key);
			}
			else {
				keys.put(key, entry);
			}
			notifyAll();
			return offset;
		}

		/** Forgets the history; the newest record of each key stays. */
		synchronized void compact(String topic) {
			this.logs.getOrDefault(topic, new ArrayList<>()).clear();
			notifyAll();
		}

		synchronized Object copy() {
			Map<String, List<Entry>> logCopy = new HashMap<>();
			this.logs.forEach((topic, log) -> logCopy.put(topic, new ArrayList<>(log)));
			Map<String, TreeMap<String, Entry>> newestCopy = new HashMap<>();
			this.newest.forEach((topic, keys) -> newestCopy.put(topic, new TreeMap<>(keys)));
			return List.of(logCopy, new HashMap<>(this.ends), newestCopy);
		}

		@SuppressWarnings("unchecked")
		synchronized void restore(Object copy) {
			List<Object> parts = (List<Object>) copy;
			this.logs.clear();
			((Map<String, List<Entry>>) parts.get(0)).forEach((topic, log) -> this.logs.put(topic,
					new ArrayList<>(log)));
			this.ends.clear();
			this.ends.putAll((Map<String, Long>) parts.get(1));
			this.newest.clear();
			((Map<String, TreeMap<String, Entry>>) parts.get(2)).forEach((topic, keys) -> this.newest.put(topic,
					new TreeMap<>(keys)));
			this.era++;
			notifyAll();
		}

		boolean serve(Request request, OutputStream out) throws IOException, InterruptedException {
			Map<String, String> query = new HashMap<>();
			String[] target = request.target().split("\\?", 2);
			for (String pair : (target.length > 1 ? target[1] : "").split("&")) {
				String[] parts = pair.split("=", 2);
				query.put(parts[0], parts.length > 1 ? URLDecoder.decode(parts[1], StandardCharsets.UTF_8) : "");
			}
			String topic = query.getOrDefault("Topic", "");
			switch (target[0]) {
				case "/rattanhead/log-newest" -> newest(topic, query.getOrDefault("After", ""), out);
				case "/rattanhead/log-read" -> read(topic, Long.parseLong(query.get("From")),
						Long.parseLong(query.getOrDefault("WaitMs", "0")), out);
				case "/rattanhead/log-append" -> append(topic, request.body(), out);
				default -> answer(out, 404, "application/json", "{}".getBytes());
			}
			return true;
		}

		private synchronized void newest(String topic, String after, OutputStream out) throws IOException {
			StringBuilder items = new StringBuilder();
			for (Entry entry : this.newest.getOrDefault(topic, new TreeMap<>()).tailMap(after, false).values()) {
				items.append(items.length() > 0 ? "," : "")
					.append("{\"Key\":\"")
					.append(entry.key())
					.append("\",\"Value\":\"")
					.append(Base64.getEncoder().encodeToString(entry.value()))
					.append("\",\"Offset\":")
					.append(entry.offset())
					.append("}");
			}
			answer(out, 200, "application/json", ("{\"Items\":[" + items + "],\"More\":false,\"End\":"
					+ this.ends.getOrDefault(topic, 0L) + "}").getBytes(StandardCharsets.UTF_8));
		}

		private synchronized void read(String topic, long from, long waitMillis, OutputStream out)
				throws IOException, InterruptedException {
			long startEra = this.era;
			long untilNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(waitMillis);
			while (this.ends.getOrDefault(topic, 0L) == from && this.era == startEra
					&& System.nanoTime() < untilNanos) {
				wait(Math.max(1, TimeUnit.NANOSECONDS.toMillis(untilNanos - System.nanoTime())));
			}
			List<Entry> log = this.logs.getOrDefault(topic, List.of());
			long end = this.ends.getOrDefault(topic, 0L);
			long first = log.isEmpty() ? end : log.get(0).offset();
			if (from < first || from > end) {
				answer(out, 410, "application/json", ("{\"First\":" + first + "}").getBytes());
				return;
			}
			ByteArrayOutputStream page = new ByteArrayOutputStream();
			DataOutputStream data = new DataOutputStream(page);
			data.writeLong(end);
			data.writeLong(first);
			for (Entry entry : log) {
				if (entry.offset() >= from) {
					byte[] key = entry.key().getBytes(StandardCharsets.UTF_8);
					data.writeInt(1 + key.length + entry.value().length);
					data.writeByte(key.length);
					data.write(key);
					data.write(entry.value());
				}
			}
			answer(out, 200, "application/octet-stream", page.toByteArray());
		}

		private synchronized void append(String topic, byte[] body, OutputStream out) throws IOException {
			if (topic.equals(OPERATORS) || topic.equals(SERVERS)) {
				answer(out, 403, "application/json", "{}".getBytes());
				return;
			}
			ByteBuffer bytes = ByteBuffer.wrap(body);
			long offset = this.ends.getOrDefault(topic, 0L);
			while (bytes.remaining() > 4) {
				byte[] content = new byte[bytes.getInt()];
				bytes.get(content);
				int keyLength = content[0] & 0xFF;
				append(topic, new String(content, 1, keyLength, StandardCharsets.UTF_8),
						Arrays.copyOfRange(content, 1 + keyLength, content.length));
			}
			answer(out, 200, "application/json",
					("{\"Offset\":" + offset + ",\"End\":" + this.ends.getOrDefault(topic, 0L) + "}").getBytes());
		}

		private void answer(OutputStream out, int status, String type, byte[] body) throws IOException {
			ByteArrayOutputStream bytes = new ByteArrayOutputStream();
			bytes.writeBytes(("HTTP/1.1 " + status + " x\r\nContent-Type: " + type + "\r\nStore-Era: " + this.era
					+ "\r\nContent-Length: " + body.length + "\r\n\r\n")
				.getBytes(StandardCharsets.ISO_8859_1));
			bytes.writeBytes(body);
			out.write(bytes.toByteArray());
			out.flush();
		}

	}

	/** One address of the store, which may turn its callers away. */
	final class StoreDoor implements AutoCloseable {

		volatile String mode = "open";

		private volatile boolean frozen;

		final Listener listener = new Listener(freePort(), this::serve);

		StoreDoor() throws IOException {
		}

		private void serve(Socket socket, Listener from) {
			try {
				InputStream in = new BufferedInputStream(socket.getInputStream());
				OutputStream out = socket.getOutputStream();
				for (Request request = readRequest(in); request != null; request = readRequest(in)) {
					if (this.mode.equals("busy")) {
						send(out, "HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n");
					}
					else if (this.mode.equals("reset")) {
						reset(socket);
						return;
					}
					else if (this.mode.equals("silent")) {
						pause(20_000);
						return;
					}
					else if (this.mode.equals("lost")) {
						Rig3.this.store.serve(request, OutputStream.nullOutputStream());
						pause(20_000);
						return;
					}
					else {
						ByteArrayOutputStream answer = new ByteArrayOutputStream();
						Rig3.this.store.serve(request, answer);
						while (this.frozen) {
							pause(10);
						}
						out.write(answer.toByteArray());
						out.flush();
					}
				}
			}
			catch (IOException | InterruptedException | RuntimeException ex) {
				// The caller has left.
			}
		}

		/** Keeps the answers of the calls that are waiting. */
		void freeze() {
			this.frozen = true;
		}

		void mode(String newMode) {
			this.frozen = false;
			this.mode = newMode;
			if (newMode.equals("reset") || newMode.equals("cut")) {
				this.listener.open.forEach(Rig3::reset);
			}
		}

		@Override
		public void close() {
			this.listener.close();
		}

	}

	/** A server of a service. */
	final class Server implements AutoCloseable {

		final String id;

		final int port;

		volatile long born = System.currentTimeMillis();

		private long sequence;

		final List<Request> received = Collections.synchronizedList(new ArrayList<>());

		volatile Listener listener;

		volatile Handler handler;

		Server(String id, Handler handler) throws IOException {
			this(id, freePort(), handler);
		}

		Server(String id, int port, Handler handler) throws IOException {
			this.id = id;
			this.port = port;
			this.handler = handler;
			listen();
			Rig3.this.servers.add(this);
		}

		void listen() throws IOException {
			this.listener = new Listener(this.port, this::serve);
		}

		private void serve(Socket socket, Listener from) {
			try {
				InputStream in = new BufferedInputStream(socket.getInputStream());
				OutputStream out = socket.getOutputStream();
				for (Request request = readHead(in); request != null; request = readHead(in)) {
					if (!request.header("X-Expect-Instance").isEmpty()
							&& !request.header("X-Expect-Instance").equals(this.id)) {
						readBody(in, request.headers());
						send(out, "HTTP/1.1 421 x\r\nX-Attempt-Id: " + request.header("X-Attempt-Id")
								+ "\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
						continue;
					}
					byte[] body = readBody(in, request.headers());
					Request whole = new Request(request.method(), request.target(), request.headers(), body,
							request.lines());
					this.received.add(whole);
					if (!this.handler.handle(whole, socket, in, out)) {
						return;
					}
				}
			}
			catch (Exception ex) {
				// The caller has left.
			}
		}

		synchronized void register(String service, String zone, String state, int slots) {
			this.sequence++;
			Rig3.this.store.put(SERVERS, this.id,
					"{\"Service\":\"" + service + "\",\"Address\":\"127.0.0.1:" + this.port + "\",\"Zone\":\"" + zone
							+ "\",\"Version\":\"1\",\"Slots\":" + slots + ",\"State\":\"" + state
							+ "\",\"ColdRemainingMs\":0,\"Sequence\":" + this.sequence + ",\"born\":" + this.born + "}");
		}

		void unregister() {
			Rig3.this.store.delete(SERVERS, this.id);
		}

		@Override
		public void close() {
			this.listener.close();
		}

	}

	/**
	 * A server to which connections hang while it is out of reach: it accepts none, and its
	 * queue of new connections is full.
	 */
	final class FarServer implements AutoCloseable {

		private static final int BACKLOG = 64;

		final String id;

		final ServerSocket socket = new ServerSocket();

		private final List<Socket> queued = new ArrayList<>();

		private volatile boolean far;

		FarServer(String id, Handler handler) throws IOException {
			this.id = id;
			this.socket.bind(new InetSocketAddress("127.0.0.1", freePort()), BACKLOG);
			run(() -> accept(handler));
		}

		private void accept(Handler handler) {
			try {
				while (true) {
					Socket accepted = this.socket.accept();
					while (this.far) {
						pause(5);
					}
					run(() -> serve(accepted, handler));
				}
			}
			catch (IOException ex) {
				// Closed.
			}
		}

		private void serve(Socket accepted, Handler handler) {
			try (accepted) {
				accepted.setTcpNoDelay(true);
				InputStream in = new BufferedInputStream(accepted.getInputStream());
				for (Request request = readRequest(in); request != null; request = readRequest(in)) {
					while (this.far) {
						pause(5);
					}
					if (!handler.handle(request, accepted, in, accepted.getOutputStream())) {
						return;
					}
				}
			}
			catch (Exception ex) {
				// The caller has left.
			}
		}

		void cut() throws IOException {
			this.far = true;
			for (int index = 0; index < BACKLOG + 3; index++) {
				Socket filler = new Socket();
				this.queued.add(filler);
				try {
					filler.connect(this.socket.getLocalSocketAddress(), 20);
				}
				catch (SocketTimeoutException ex) {
					return;
				}
			}
		}

		void heal() throws IOException {
			this.far = false;
			for (Socket filler : this.queued) {
				filler.close();
			}
			this.queued.clear();
		}

		void register(String service, String zone, int slots) {
			Rig3.this.store.put(SERVERS, this.id,
					"{\"Service\":\"" + service + "\",\"Address\":\"127.0.0.1:" + this.socket.getLocalPort()
							+ "\",\"Zone\":\"" + zone + "\",\"Version\":\"1\",\"Slots\":" + slots
							+ ",\"State\":\"ready\",\"ColdRemainingMs\":0,\"Sequence\":1,\"born\":1}");
		}

		@Override
		public void close() throws IOException {
			this.socket.close();
		}

	}

	/** A gateway in a process of its own. */
	final class Gateway {

		final String host;

		final StoreDoor door = new StoreDoor();

		final int callers = freePort();

		final int ready = freePort();

		final int directory = freePort();

		final int mesh = freePort();

		final int metrics = freePort();

		final Path settings;

		final Path output;

		Process process;

		private final int descriptors;

		Gateway(String host) throws IOException {
			this(host, 0);
		}

		/** Starts a gateway with a number of descriptors; 0 for that of this process. */
		Gateway(String host, int descriptors) throws IOException {
			this.host = host;
			this.descriptors = descriptors;
			this.settings = Rig3.this.folder.resolve(host + ".ini");
			this.output = Rig3.this.folder.resolve(host + ".log");
			Files.writeString(this.settings, """
					[gateway]
					host = %s
					callers = 127.0.0.1:%d
					ready = 127.0.0.1:%d
					directory = 127.0.0.1:%d
					mesh = 127.0.0.1:%d
					metrics = 127.0.0.1:%d
					processor-share = 0.75
					processor-speed = 1

					[platform]
					store = 127.0.0.1:%d

					[limits]
					retry-ratio = 0.2
					retry-slack = 106
					retry-window = 10s
					max-hold = 20000ms
					shutdown-grace = 8s

					[logs]
					level = info
					""".formatted(host, this.callers, this.ready, this.directory, this.mesh, this.metrics,
					this.door.listener.port()));
			Rig3.this.gateways.add(this);
			start();
		}

		void start() throws IOException {
			List<String> command = List.of("java", "-Xmx194m", "-Xss256k", "-XX:+UseSerialGC",
					"-XX:TieredStopAtLevel=1", "-XX:SharedArchiveFile=target/rattanheadd.jsa",
					"-Djavax.management.builder.initial=none", "-jar", "target/rattanheadd.jar", "--settings",
					this.settings.toString());
			if (this.descriptors > 0) {
				command = List.of("bash", "-c",
						"ulimit -n " + this.descriptors + " && exec " + String.join(" ", command));
			}
			this.process = new ProcessBuilder(command).redirectErrorStream(true)
				.redirectOutput(ProcessBuilder.Redirect.appendTo(this.output.toFile()))
				.start();
		}

		void signal(String name) {
			try {
				new ProcessBuilder("kill", "-" + name, Long.toString(this.process.pid())).start().waitFor();
			}
			catch (IOException | InterruptedException ex) {
				throw new IllegalStateException(ex);
			}
		}

		void kill() {
			this.process.destroyForcibly();
		}

		boolean isReady() {
			try (Client client = new Client(this.ready)) {
				client.send("GET /rattanhead/readyz HTTP/1.1\r\nHost: h\r\n\r\n");
				return client.answer().status() == 200;
			}
			catch (IOException ex) {
				return false;
			}
		}

		void awaitReady() {
			for (int attempt = 0; attempt < 300; attempt++) {
				if (isReady()) {
					return;
				}
				pause(50);
			}
			throw new IllegalStateException("gateway " + this.host + " is not ready");
		}

		String log() throws IOException {
			return Files.readString(this.output);
		}

		long residentKilobytes() {
			try {
				for (String line : Files.readAllLines(Path.of("/proc/" + this.process.pid() + "/status"))) {
					if (line.startsWith("VmRSS:")) {
						return Long.parseLong(line.replaceAll("[^0-9]", ""));
					}
				}
			}
			catch (IOException ex) {
				// The process has ended.
			}
			return -1;
		}

	}

	/** An answer as a client reads it. */
	record Answer(int status, Map<String, String> headers, byte[] body, boolean whole) {

		String header(String name) {
			return this.headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
		}

	}

	/** A connection of a client. */
	static final class Client implements AutoCloseable {

		final Socket socket = new Socket();

		final InputStream in;

		final OutputStream out;

		Client(int port) throws IOException {
			this.socket.connect(new InetSocketAddress("127.0.0.1", port), 1_000);
			this.socket.setTcpNoDelay(true);
			this.socket.setSoTimeout(20_000);
			this.in = new BufferedInputStream(this.socket.getInputStream());
			this.out = this.socket.getOutputStream();
		}

		void send(String bytes) throws IOException {
			Rig3.send(this.out, bytes);
		}

		Answer answer() throws IOException {
			String first = readLine(this.in);
			while (first != null && first.startsWith("HTTP/1.1 100")) {
				readLine(this.in);
				first = readLine(this.in);
			}
			if (first == null) {
				throw new EOFException("closed without an answer");
			}
			Map<String, String> headers = new HashMap<>();
			for (String line = readLine(this.in); line != null && !line.isEmpty(); line = readLine(this.in)) {
				int colon = line.indexOf(':');
				headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
			}
			int status = Integer.parseInt(first.split(" ")[1]);
			try {
				return new Answer(status, headers, readBody(this.in, headers), true);
			}
			catch (EOFException | SocketException ex) {
				return new Answer(status, headers, new byte[0], false);
			}
		}

		@Override
		public void close() {
			try {
				this.socket.close();
			}
			catch (IOException ex) {
				// Closed already.
			}
		}

	}

	private static final AtomicLong ATTEMPTS = new AtomicLong(0x9c41_0000_0000L + new Random().nextInt(1 << 20) * 4096L);

	static String attemptId() {
		return String.format("%016x", ATTEMPTS.incrementAndGet());
	}

	static String requestText(String method, String path, String attempt, long deadlineMillis, String more,
			String body) {
		return method + " " + path + " HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: " + attempt
				+ "\r\nX-Deadline-Remaining-Ms: " + deadlineMillis + "\r\nAuthorization: Bearer key-1\r\n" + more
				+ (body.isEmpty() && method.equals("GET") ? "" : "Content-Length: " + body.length() + "\r\n") + "\r\n"
				+ body;
	}

	/** The answer of a sound server. */
	static String signed(Request request, int status, String more, String body) {
		return "HTTP/1.1 " + status + " OK\r\nX-Attempt-Id: " + request.header("X-Attempt-Id")
				+ "\r\nX-Response-Signature: s." + request.header("X-Attempt-Id") + "\r\n" + more + "Content-Length: "
				+ body.length() + "\r\n\r\n" + body;
	}

	static String route(String prefix, String kind, String service, int attempts, long timeout, String more) {
		return "{\"Name\":\"r" + prefix.replace("/", "-") + "\",\"Host\":\"h.example\",\"PathPrefix\":\"" + prefix
				+ "\",\"Kind\":\"" + kind + "\",\"TimeoutMs\":" + timeout + ",\"TargetLatencyMs\":200,\"Priority\":1,"
				+ "\"Service\":\"" + service + "\",\"MaxAttempts\":" + attempts + ",\"Public\":false" + more + "}";
	}

	void configure(long version, String services, String... routes) {
		this.store.put(OPERATORS, "config", "{\"Version\":" + version + ",\"Routes\":[" + String.join(",", routes)
				+ "],\"Services\":[" + services + "],\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,"
				+ "\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000},\"Tenants\":[{\"Name\":\"t-1\",\"ApiKeys\":"
				+ "[\"key-1\"],\"Priority\":1}]}");
	}

	static String service(String name) {
		return "{\"Name\":\"" + name + "\",\"HealthPath\":\"/healthz\",\"MaxConnections\":110,\"ColdPerS\":0,"
				+ "\"ColdStartS\":0}";
	}

	@Override
	public void close() {
		this.gateways.forEach(Gateway::kill);
		this.servers.forEach(Server::close);
		this.gateways.forEach((gateway) -> gateway.door.close());
		deleteFolder();
	}

	private void deleteFolder() {
		try (var files = Files.walk(this.folder)) {
			files.sorted(Comparator.reverseOrder()).forEach((file) -> file.toFile().delete());
		}
		catch (IOException ex) {
			// Left to the system.
		}
	}

}
