import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A gateway process, started with the command and the settings template of the deploy file. */
final class Gateway implements AutoCloseable {

	static final int GRACE_S = 8;

	private final Path root;

	private final Path settings;

	private final Path log;

	final String name;

	final InetSocketAddress front = free();

	final InetSocketAddress ready = free();

	private Process process;

	Gateway(Path root, Path folder, String name, InetSocketAddress store) throws IOException {
		this.root = root;
		this.name = name;
		this.settings = folder.resolve(name + ".ini");
		this.log = folder.resolve(name + ".log");
		Map<String, String> values = new LinkedHashMap<>();
		values.put("NodeName", name);
		values.put("Listen.Front", text(this.front));
		values.put("Listen.ReadyAddr", text(this.ready));
		values.put("Listen.Directory", text(free()));
		values.put("{Ip}}:{{InternalPorts.0", "");
		values.put("Limits.CpuShare", "0.75");
		values.put("Limits.Cores", "1");
		values.put("Platform.Address", text(store));
		values.put("Bounds.RetryBudgetRatio", "0.2");
		values.put("Bounds.BudgetSlack", "104");
		values.put("Bounds.BudgetWindowS", "10");
		values.put("Bounds.HoldMaxMs", "20000");
		values.put("Bounds.GraceS", Integer.toString(GRACE_S));
		String template = Files.readString(root.resolve("deploy/gateway.ini"))
			.replace("{{Ip}}:{{InternalPorts.0}}", text(freeDatagram()))
			.replace("{{Ip}}:9464", text(free()));
		Matcher fields = Pattern.compile("\\{\\{([^}]*)\\}\\}").matcher(template);
		Files.writeString(this.settings, fields.replaceAll((field) -> values.get(field.group(1))));
	}

	/** Starts the process, on the same addresses each time. */
	void start() throws IOException {
		Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$")
			.matcher(Files.readString(this.root.resolve("deploy/system.toml")));
		if (!run.find()) {
			throw new IOException("deploy/system.toml names no program");
		}
		List<String> command = new ArrayList<>(
				List.of(run.group(1).replace("/etc/rattanhead/boot.yaml", this.settings.toString()).split(" ")));
		this.process = new ProcessBuilder(command).directory(this.root.toFile())
			.redirectErrorStream(true)
			.redirectOutput(ProcessBuilder.Redirect.appendTo(this.log.toFile()))
			.start();
	}

	void awaitReady() throws Exception {
		long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
		while (System.nanoTime() < endNanos) {
			try (Client client = new Client(this.ready)) {
				client.send("GET /rattanhead/readyz HTTP/1.1\r\nHost: x\r\n\r\n", "");
				if (client.receive(2_000, (events) -> {
				}).status == 200) {
					return;
				}
			}
			catch (IOException ex) {
				// Not listening yet.
			}
			Thread.sleep(100);
		}
		throw new IOException(this.name + " is not ready; see " + this.log);
	}

	void signal(String signal) throws IOException, InterruptedException {
		if (this.process.isAlive()) {
			new ProcessBuilder("kill", "-" + signal, Long.toString(this.process.pid())).start().waitFor();
		}
	}

	boolean awaitExit(long millis) throws InterruptedException {
		return this.process.waitFor(millis, TimeUnit.MILLISECONDS);
	}

	private static String text(InetSocketAddress address) {
		return address.getAddress().getHostAddress() + ":" + address.getPort();
	}

	private static InetSocketAddress free() throws IOException {
		try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
			return new InetSocketAddress("127.0.0.1", socket.getLocalPort());
		}
	}

	private static InetSocketAddress freeDatagram() throws IOException {
		try (DatagramSocket socket = new DatagramSocket(0, InetAddress.getByName("127.0.0.1"))) {
			return new InetSocketAddress("127.0.0.1", socket.getLocalPort());
		}
	}

	@Override
	public void close() throws InterruptedException {
		if (this.process != null) {
			this.process.destroyForcibly().waitFor(5, TimeUnit.SECONDS);
		}
	}

}
