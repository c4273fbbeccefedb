import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.EOFException;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

/** Stand-ins of the platform's store, servers and clients, and real gateway processes, for the cases of this review. */
final class Rig implements AutoCloseable {

	static final long START_NANOS = System.nanoTime();

	// run.sh translates these; the virtual machine ends with 1 after errors of its own.
	private static final int COULD_NOT_RUN = 2;

	private static final int HELD = 10;

	private static final int BROKEN = 11;

	final boolean trouble = !"0".equals(System.getenv("TROUBLE"));

	final Path folder;

	final Store store;

	/** The zone of all servers, null if they are spread over three. */
	String onlyZone;

	final List<Gateway> gateways = new ArrayList<>();

	final List<Server> servers = new ArrayList<>();

	private final PrintWriter record;

	Rig(Path recordFile) throws IOException {
		this.folder = Files.createTempDirectory("review");
		this.record = new PrintWriter(Files.newBufferedWriter(recordFile));
		this.store = new Store();
		Runtime.getRuntime().addShutdownHook(new Thread(this::stopProcesses));
	}

	/** Returns the milliseconds since the start on the steady clock. */
	static long now() {
		return (System.nanoTime() - START_NANOS) / 1_000_000;
	}

	static void sleep(long millis) {
		try {
			Thread.sleep(Math.max(0, millis));
		}
		catch (InterruptedException ex) {
			throw new IllegalStateException(ex);
		}
	}

	static void start(Runnable task) {
		Thread thread = new Thread(task);
		thread.setDaemon(true);
		thread.start();
	}

	void log(String line) {
		synchronized (this.record) {
			this.record.println(String.format(Locale.ROOT, "%7d ms  %s", now(), line.strip().replace("\n", "\\n")));
			this.record.flush();
		}
	}

	Server server(String id, String service, Handler handler) throws IOException {
		Server server = new Server(this, id, service, handler);
		this.servers.add(server);
		return server;
	}

	Gateway gateway(String host) throws IOException {
		Gateway gateway = new Gateway(this, host);
		this.gateways.add(gateway);
		return gateway;
	}

	/** Waits until all gateways say that they are ready; the case can't run otherwise. */
	void awaitReady(long limitMillis) {
		long end = now() + limitMillis;
		for (Gateway gateway : this.gateways) {
			while (!gateway.ready()) {
				if (now() > end) {
					throw new IllegalStateException(gateway.host + " is not ready");
				}
				sleep(50);
			}
		}
		log("all gateways are ready");
	}

	/** A case of the review. */
	interface Case {

		void run(Rig rig) throws Exception;

	}

	/** Runs a case; an error of its own means that it could not run. */
	static void run(String[] arguments, Case task) {
		try {
			task.run(new Rig(Path.of(arguments[0])));
		}
		catch (Throwable ex) {
			ex.printStackTrace();
			System.exit(COULD_NOT_RUN);
		}
	}

	/** Ends the case with its verdict. */
	void end(boolean ran, boolean broken, String verdict) {
		String outcome = !ran ? "COULD NOT RUN" : broken ? "BROKEN" : "HELD";
		log(outcome + ": " + verdict);
		System.out.println(outcome + ": " + verdict);
		close();
		System.exit(!ran ? COULD_NOT_RUN : broken ? BROKEN : HELD);
	}

	private void stopProcesses() {
		this.gateways.forEach(Gateway::kill);
		File[] files = this.folder.toFile().listFiles();
		for (File file : (files != null) ? files : new File[0]) {
			file.delete();
		}
		this.folder.toFile().delete();
	}

	@Override
	public void close() {
		stopProcesses();
		synchronized (this.record) {
			this.record.close();
		}
	}

	/** Finds a free port below the ports of outgoing connections. */
	static synchronized int freePort() throws IOException {
		for (int attempt = 0; attempt < 1_000; attempt++) {
			int port = 12_000 + RANDOM.nextInt(18_000);
			if (TAKEN.add(port)) {
				try (ServerSocket socket = new ServerSocket(port, 1, LOOPBACK)) {
					return socket.getLocalPort();
				}
				catch (BindException ex) {
					// In use.
				}
			}
		}
		throw new IOException("no free port");
	}

	static final InetAddress LOOPBACK = loopback();

	private static InetAddress loopback() {
		try {
			return InetAddress.getByAddress(new byte[] { 127, 0, 0, 1 });
		}
		catch (IOException ex) {
			throw new IllegalStateException(ex);
		}
	}

	private static final Random RANDOM = new Random();

	private static final Set<Integer> TAKEN = ConcurrentHashMap.newKeySet();

	interface Handler {

		void handle(Server server, Request request, Exchange exchange) throws IOException;

	}

	/** A message head with its body. */
	static final class Request {

		String method;

		String target;

		final Map<String, String> fields = new LinkedHashMap<>();

		byte[] body = {};

		long atMillis;

		String field(String name) {
			return this.fields.getOrDefault(name.toLowerCase(Locale.ROOT), "");
		}

		String parameter(String name) {
			int start = this.target.indexOf('?');
			for (String part : (start < 0) ? new String[0] : this.target.substring(start + 1).split("&")) {
				if (part.startsWith(name + "=")) {
					return URLDecoder.decode(part.substring(name.length() + 1), StandardCharsets.UTF_8);
				}
			}
			return "";
		}

	}

	/** Reads messages from a connection. */
	static final class Wire {

		private Wire() {
		}

		static String line(InputStream in) throws IOException {
			ByteArrayOutputStream line = new ByteArrayOutputStream();
			int next = in.read();
			while (next >= 0 && next != '\n') {
				line.write(next);
				next = in.read();
			}
			if (next < 0) {
				throw new EOFException("the connection ended inside a line");
			}
			return line.toString(StandardCharsets.ISO_8859_1).replace("\r", "");
		}

		static Map<String, String> fields(InputStream in) throws IOException {
			Map<String, String> fields = new LinkedHashMap<>();
			for (String line = line(in); !line.isEmpty(); line = line(in)) {
				int colon = line.indexOf(':');
				fields.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
			}
			return fields;
		}

		static Request request(InputStream in) throws IOException {
			int first = in.read();
			if (first < 0) {
				return null;
			}
			String[] parts = ((char) first + line(in)).split(" ");
			Request request = new Request();
			request.method = parts[0];
			request.target = parts[1];
			request.fields.putAll(fields(in));
			request.atMillis = now();
			String length = request.field("Content-Length");
			if (!length.isEmpty()) {
				request.body = in.readNBytes(Integer.parseInt(length));
			}
			else if (request.field("Transfer-Encoding").equals("chunked")) {
				ByteArrayOutputStream body = new ByteArrayOutputStream();
				for (byte[] chunk = chunk(in); chunk.length > 0; chunk = chunk(in)) {
					body.write(chunk);
				}
				request.body = body.toByteArray();
			}
			return request;
		}

		/** Reads a chunk; an empty one is the last. */
		static byte[] chunk(InputStream in) throws IOException {
			int size = Integer.parseInt(line(in).split(";")[0].trim(), 16);
			byte[] bytes = in.readNBytes(size);
			if (bytes.length < size) {
				throw new EOFException("the connection ended inside a chunk");
			}
			line(in);
			return bytes;
		}

	}

	/** A connection of a server, and the answer on it. */
	static final class Exchange {

		final Socket socket;

		final OutputStream out;

		Exchange(Socket socket) throws IOException {
			this.socket = socket;
			this.out = socket.getOutputStream();
		}

		void write(String text) throws IOException {
			this.out.write(text.getBytes(StandardCharsets.ISO_8859_1));
			this.out.flush();
		}

		/** Writes a head and a body with its length. */
		void answer(int status, String fields, String body) throws IOException {
			write("HTTP/1.1 " + status + " S\r\n" + fields + "Content-Length: " + body.length() + "\r\n\r\n" + body);
		}

		void chunk(String text) throws IOException {
			write(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
		}

		void close() throws IOException {
			this.socket.close();
		}

		void reset() throws IOException {
			this.socket.setSoLinger(true, 0);
			this.socket.close();
		}

	}

	/** An HTTP server with a thread for each connection. */
	static class Listener implements Closeable {

		final int port;

		private volatile ServerSocket socket;

		private final Set<Socket> open = ConcurrentHashMap.newKeySet();

		Listener() throws IOException {
			this.port = freePort();
			listen();
		}

		final void listen() throws IOException {
			ServerSocket opened = new ServerSocket();
			opened.setReuseAddress(true);
			opened.bind(new InetSocketAddress(LOOPBACK, this.port), 512);
			this.socket = opened;
			start(() -> accept(opened));
		}

		private void accept(ServerSocket opened) {
			while (!opened.isClosed()) {
				try {
					Socket accepted = opened.accept();
					accepted.setTcpNoDelay(true);
					this.open.add(accepted);
					start(() -> serve(accepted));
				}
				catch (IOException ex) {
					// Closed, or the connection ended before it was accepted.
				}
			}
		}

		private void serve(Socket accepted) {
			try (Socket own = accepted) {
				InputStream in = new BufferedInputStream(own.getInputStream());
				Exchange exchange = new Exchange(own);
				for (Request request = Wire.request(in); request != null
						&& !own.isClosed(); request = Wire.request(in)) {
					handle(request, exchange);
				}
			}
			catch (IOException ex) {
				// The peer has left.
			}
			finally {
				this.open.remove(accepted);
			}
		}

		void handle(Request request, Exchange exchange) throws IOException {
			exchange.answer(404, "", "");
		}

		/** Ends all connections with a reset, as the end of a process does, and listens no more. */
		void crash() throws IOException {
			this.socket.close();
			for (Socket each : this.open) {
				try {
					each.setSoLinger(true, 0);
					each.close();
				}
				catch (IOException ex) {
					// It was closed meanwhile.
				}
			}
		}

		@Override
		public void close() throws IOException {
			crash();
		}

	}

	/** A server of a service, which registers itself in the store. */
	static final class Server extends Listener {

		private static final long HEARTBEAT_MILLIS = 1_200;

		final Rig rig;

		final String name;

		final String service;

		final String zone;

		private final Handler handler;

		volatile String id;

		volatile boolean running = true;

		volatile String state = "ready";

		/** When the server stops being cold, in milliseconds of {@link Rig#now()}. */
		volatile long coldUntilMillis;

		private int incarnation;

		private long born;

		private long sequence;

		Server(Rig rig, String name, String service, Handler handler) throws IOException {
			this.rig = rig;
			this.name = name;
			this.service = service;
			this.handler = handler;
			this.zone = (rig.onlyZone != null) ? rig.onlyZone : "z" + Math.floorMod(name.hashCode(), 3);
			born();
			start(this::beat);
		}

		/** Whether the server keeps its id when it starts again. */
		volatile boolean keepsId;

		private void born() {
			this.incarnation += (this.keepsId && this.incarnation > 0) ? 0 : 1;
			this.id = "i-" + this.name + "-" + this.incarnation;
			this.born = System.currentTimeMillis();
			this.sequence = 0;
			register();
		}

		private void beat() {
			while (true) {
				sleep(HEARTBEAT_MILLIS);
				if (this.running) {
					register();
				}
			}
		}

		synchronized void register() {
			this.sequence++;
			this.rig.store.put("keyed.servers", this.id, "{\"Service\":\"" + this.service
					+ "\",\"Address\":\"127.0.0.1:" + this.port + "\",\"Zone\":\"" + this.zone
					+ "\",\"Version\":\"v1\",\"Slots\":11,\"State\":\"" + this.state
					+ "\",\"ColdRemainingMs\":" + Math.max(0, this.coldUntilMillis - now()) + ",\"Stage\":\"both\",\"Models\":[{\"Name\":\"m\",\"Version\":1,"
					+ "\"Adapters\":[]}],\"Sequence\":" + this.sequence + ",\"born\":" + this.born + "}");
		}

		/** Crashes, and starts again under a new id after some time; the old entry lapses after three heartbeats. */
		void crashFor(long downMillis) throws IOException {
			crashFor(downMillis, 0);
		}

		/** Crashes, and starts again; it is cold for some time from then on. */
		void crashFor(long downMillis, long coldMillis) throws IOException {
			synchronized (this) {
				if (!this.running) {
					return;
				}
				this.running = false;
			}
			String old = this.id;
			crash();
			start(() -> {
				sleep(downMillis);
				try {
					listen();
				}
				catch (IOException ex) {
					throw new IllegalStateException(ex);
				}
				synchronized (this) {
					this.coldUntilMillis = now() + coldMillis;
					born();
					this.running = true;
				}
				sleep(Math.max(0, 3 * HEARTBEAT_MILLIS - downMillis));
				if (!this.id.equals(old)) {
					this.rig.store.put("keyed.servers", old, "");
				}
			});
		}

		@Override
		void handle(Request request, Exchange exchange) throws IOException {
			String expected = request.field("X-Expect-Instance");
			if (!expected.isEmpty() && !expected.equals(this.id)) {
				exchange.answer(421, "X-Attempt-Id: " + request.field("X-Attempt-Id") + "\r\nX-Instance-Id: " + this.id
						+ "\r\n", "");
				return;
			}
			this.handler.handle(this, request, exchange);
		}

	}

	/** The platform's store with its keyed topics. */
	static final class Store extends Listener {

		private final Map<String, List<byte[]>> topics = new HashMap<>();

		Store() throws IOException {
			// The listener is started by its own constructor.
		}

		synchronized void put(String topic, String key, String value) {
			byte[] keyBytes = key.getBytes(StandardCharsets.UTF_8);
			byte[] valueBytes = value.getBytes(StandardCharsets.UTF_8);
			ByteBuffer bytes = ByteBuffer.allocate(1 + keyBytes.length + valueBytes.length);
			bytes.put((byte) keyBytes.length).put(keyBytes).put(valueBytes);
			topic(topic).add(bytes.array());
			notifyAll();
		}

		private List<byte[]> topic(String name) {
			return this.topics.computeIfAbsent(name, (added) -> new ArrayList<>());
		}

		@Override
		void handle(Request request, Exchange exchange) throws IOException {
			switch (request.target.replaceAll("\\?.*", "")) {
				case "/rattanhead/log-append" -> append(request, exchange);
				case "/rattanhead/log-read" -> read(request, exchange);
				case "/rattanhead/log-newest" -> newest(request, exchange);
				default -> exchange.answer(404, "", "");
			}
		}

		private void append(Request request, Exchange exchange) throws IOException {
			long offset;
			long end;
			synchronized (this) {
				List<byte[]> all = topic(request.parameter("Topic"));
				offset = all.size();
				ByteBuffer body = ByteBuffer.wrap(request.body);
				while (body.hasRemaining()) {
					byte[] bytes = new byte[body.getInt()];
					body.get(bytes);
					all.add(bytes);
				}
				end = all.size();
				notifyAll();
			}
			sleep(4);
			exchange.answer(200, "Content-Type: application/json\r\n", "{\"Offset\":" + offset + ",\"End\":" + end + "}");
		}

		private void read(Request request, Exchange exchange) throws IOException {
			sleep(4);
			int from = Integer.parseInt(request.parameter("From"));
			String wait = request.parameter("WaitMs");
			long until = now() + (wait.isEmpty() ? 0 : Long.parseLong(wait));
			ByteArrayOutputStream body = new ByteArrayOutputStream();
			synchronized (this) {
				List<byte[]> all = topic(request.parameter("Topic"));
				while (all.size() <= from && now() < until) {
					try {
						wait(Math.max(1, until - now()));
					}
					catch (InterruptedException ex) {
						throw new IOException(ex);
					}
				}
				body.write(ByteBuffer.allocate(16).putLong(all.size()).putLong(0).array());
				for (byte[] each : all.subList(Math.min(from, all.size()), all.size())) {
					body.write(ByteBuffer.allocate(4).putInt(each.length).array());
					body.write(each);
				}
			}
			exchange.out.write(("HTTP/1.1 200 OK\r\nContent-Length: " + body.size() + "\r\n\r\n")
				.getBytes(StandardCharsets.ISO_8859_1));
			exchange.out.write(body.toByteArray());
			exchange.out.flush();
		}

		private void newest(Request request, Exchange exchange) throws IOException {
			sleep(4);
			StringBuilder items = new StringBuilder();
			int end;
			synchronized (this) {
				List<byte[]> all = topic(request.parameter("Topic"));
				end = all.size();
				Map<String, String> newest = new LinkedHashMap<>();
				for (int offset = 0; offset < end; offset++) {
					byte[] each = all.get(offset);
					String key = new String(each, 1, each[0], StandardCharsets.UTF_8);
					byte[] value = Arrays.copyOfRange(each, 1 + each[0], each.length);
					newest.remove(key);
					if (value.length > 0) {
						newest.put(key, "{\"Key\":\"" + key + "\",\"Value\":\""
								+ Base64.getEncoder().encodeToString(value) + "\",\"Offset\":" + offset + "}");
					}
				}
				items.append(String.join(",", newest.values()));
			}
			exchange.answer(200, "Content-Type: application/json\r\n",
					"{\"Items\":[" + items + "],\"More\":false,\"End\":" + end + "}");
		}

	}

	/** A process of the project, started with the command and the settings template of the deploy file. */
	static final class Gateway {

		private static final String SETTINGS = "/etc/rattanhead/boot.yaml";

		final String host;

		final int callers;

		final int ready;

		final int directory;

		private final List<String> command = new ArrayList<>();

		private final Path log;

		private Process process;

		Gateway(Rig rig, String host) throws IOException {
			this.host = host;
			this.callers = freePort();
			this.ready = freePort();
			this.directory = freePort();
			Path settings = rig.folder.resolve(host + ".ini");
			this.log = rig.folder.resolve(host + ".log");
			Map<String, String> values = new HashMap<>();
			values.put("NodeName", host);
			values.put("Listen.Front", "127.0.0.1:" + this.callers);
			values.put("Listen.ReadyAddr", "127.0.0.1:" + this.ready);
			values.put("Listen.Directory", "127.0.0.1:" + this.directory);
			values.put("Ip", "127.0.0.1");
			values.put("InternalPorts.0", Integer.toString(freePort()));
			values.put("Limits.CpuShare", "0.75");
			values.put("Limits.Cores", "1");
			values.put("Platform.Address", "127.0.0.1:" + rig.store.port);
			values.put("Bounds.RetryBudgetRatio", "0.2");
			values.put("Bounds.BudgetSlack", "104");
			values.put("Bounds.BudgetWindowS", "10");
			values.put("Bounds.HoldMaxMs", "20000");
			values.put("Bounds.GraceS", "8");
			String text = Files.readString(Path.of("deploy/gateway.ini"));
			for (Map.Entry<String, String> value : values.entrySet()) {
				text = text.replace("{{" + value.getKey() + "}}", value.getValue());
			}
			// All processes share one address here, so that the fixed port of the metrics would clash.
			text = text.replace("127.0.0.1:9464", "127.0.0.1:" + freePort());
			Files.writeString(settings, text);
			String run = Files.readAllLines(Path.of("deploy/system.toml"))
				.stream()
				.filter((line) -> line.startsWith("run = "))
				.map((line) -> line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')))
				.findFirst()
				.orElseThrow();
			for (String word : run.split(" ")) {
				this.command.add(word.equals(SETTINGS) ? settings.toString() : word);
			}
			start();
		}

		void start() throws IOException {
			this.process = new ProcessBuilder(this.command).redirectErrorStream(true)
				.redirectOutput(ProcessBuilder.Redirect.appendTo(this.log.toFile()))
				.start();
		}

		long pid() {
			return this.process.pid();
		}

		void signal(String name) throws IOException {
			try {
				new ProcessBuilder("kill", "-" + name, Long.toString(this.process.pid())).start().waitFor();
			}
			catch (InterruptedException ex) {
				throw new IOException(ex);
			}
		}

		/** Ends the process at once, without waiting. */
		void destroy() {
			this.process.destroyForcibly();
		}

		void kill() {
			try {
				this.process.destroyForcibly().waitFor(5, TimeUnit.SECONDS);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		}

		boolean alive() {
			return this.process.isAlive();
		}

		boolean ready() {
			try (Client client = new Client(this.ready)) {
				return client.call("GET /rattanhead/readyz HTTP/1.1\r\nHost: h\r\n\r\n", 1_000).status == 200;
			}
			catch (IOException ex) {
				return false;
			}
		}

		String log() throws IOException {
			return Files.readString(this.log);
		}

	}

	/** An answer as a client sees it. */
	static final class Answer {

		int status;

		Map<String, String> fields = Map.of();

		final ByteArrayOutputStream body = new ByteArrayOutputStream();

		/** When the first byte of the body came, -1 if none did. */
		long firstMillis = -1;

		long endMillis;

		/** Why the answer is not complete, empty if it is. */
		String fault = "";

		boolean complete() {
			return this.fault.isEmpty();
		}

		boolean served() {
			return complete() && this.status >= 200 && this.status < 300;
		}

		String text() {
			return this.body.toString(StandardCharsets.ISO_8859_1);
		}

		@Override
		public String toString() {
			return (this.status == 0) ? "no answer (" + this.fault + ")"
					: this.status + (complete() ? "" : " cut off (" + this.fault + ")");
		}

	}

	/** A client connection. */
	static final class Client implements Closeable {

		final Socket socket = new Socket();

		final InputStream in;

		Client(int port) throws IOException {
			this.socket.connect(new InetSocketAddress(LOOPBACK, port), 1_000);
			this.socket.setTcpNoDelay(true);
			this.in = new BufferedInputStream(this.socket.getInputStream());
		}

		void send(String text) throws IOException {
			this.socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
			this.socket.getOutputStream().flush();
		}

		Answer call(String request, long limitMillis) {
			Answer answer = new Answer();
			try {
				send(request);
			}
			catch (IOException ex) {
				answer.fault = "not sent: " + ex.getMessage();
				answer.endMillis = now();
				return answer;
			}
			return receive(limitMillis);
		}

		Answer receive(long limitMillis) {
			Answer answer = new Answer();
			try {
				this.socket.setSoTimeout((int) limitMillis);
				String status = Wire.line(this.in);
				answer.status = Integer.parseInt(status.split(" ")[1]);
				answer.fields = Wire.fields(this.in);
				String length = answer.fields.getOrDefault("content-length", "");
				if (!length.isEmpty()) {
					byte[] bytes = this.in.readNBytes(Integer.parseInt(length));
					answer.firstMillis = now();
					answer.body.write(bytes);
					answer.fault = (bytes.length < Integer.parseInt(length)) ? "the body is short" : "";
				}
				else if (answer.fields.getOrDefault("transfer-encoding", "").equals("chunked")) {
					for (byte[] chunk = Wire.chunk(this.in); chunk.length > 0; chunk = Wire.chunk(this.in)) {
						answer.firstMillis = (answer.firstMillis < 0) ? now() : answer.firstMillis;
						answer.body.write(chunk);
					}
				}
				else {
					answer.body.write(this.in.readAllBytes());
					answer.firstMillis = now();
				}
			}
			catch (IOException | RuntimeException ex) {
				answer.fault = String.valueOf(ex.getMessage());
			}
			answer.endMillis = now();
			return answer;
		}

		@Override
		public void close() throws IOException {
			this.socket.close();
		}

	}

	/** Calls a gateway on a new connection. */
	static Answer call(int port, String request, long limitMillis) {
		try (Client client = new Client(port)) {
			return client.call(request, limitMillis);
		}
		catch (IOException ex) {
			Answer answer = new Answer();
			answer.fault = "no connection: " + ex.getMessage();
			answer.endMillis = now();
			return answer;
		}
	}

	/** Retries a check until it holds or the time is over. */
	static <T> T await(long limitMillis, Function<Long, T> check) {
		long end = now() + limitMillis;
		T found = check.apply(end);
		while (found == null && now() < end) {
			sleep(20);
			found = check.apply(end);
		}
		return found;
	}

}
