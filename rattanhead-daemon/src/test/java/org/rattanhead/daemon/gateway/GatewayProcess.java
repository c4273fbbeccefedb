package org.rattanhead.daemon.gateway;

import java.io.File;
import java.io.IOException;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.rattanhead.daemon.DaemonMain;

/**
 * A gateway in a separate process. Signals are sent only to the process started here.
 */
public final class GatewayProcess implements AutoCloseable {

	private static final long EXIT_TIMEOUT_SECONDS = 8;

	private static final int FIRST_PORT = 12_000;

	private static final int PORTS = 20_000;

	private static final int MAX_PORT_ATTEMPTS = 1_000;

	private static final AtomicInteger NEXT_PORT = new AtomicInteger(new Random().nextInt(PORTS));

	private final Path folder;

	private final Path settings;

	private final InetSocketAddress callersAddress;

	private Process process;

	/**
	 * Starts a gateway.
	 * @param parent the folder for its settings and its log
	 * @param host the name of its host
	 * @param store the address of the store
	 * @throws IOException if it cannot be started
	 */
	public GatewayProcess(Path parent, String host, InetSocketAddress store) throws IOException {
		this.folder = Files.createDirectories(parent.resolve(host));
		this.callersAddress = freeAddress();
		this.settings = Files.writeString(this.folder.resolve("gateway.ini"), """
				[gateway]
				host = %s
				callers = 127.0.0.1:%d
				ready = 127.0.0.1:%d
				directory = 127.0.0.1:%d
				mesh = 127.0.0.1:%d
				metrics = 127.0.0.1:%d
				[platform]
				store = 127.0.0.1:%d
				[limits]
				retry-ratio = 0.2
				retry-slack = 100
				retry-window = 10s
				max-hold = 20s
				shutdown-grace = 4s
				""".formatted(host, this.callersAddress.getPort(), freeAddress().getPort(), freeAddress().getPort(),
				freeAddress().getPort(), freeAddress().getPort(), store.getPort()));
		start();
	}

	/**
	 * Returns the address that callers connect to.
	 * @return the address
	 */
	public InetSocketAddress callersAddress() {
		return this.callersAddress;
	}

	/**
	 * Returns the settings file, which the process reads again on SIGHUP.
	 * @return the file
	 */
	public Path settings() {
		return this.settings;
	}

	/**
	 * Starts the process, on the same addresses each time.
	 * @throws IOException if it cannot be started
	 */
	public void start() throws IOException {
		String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
		File log = this.folder.resolve("log").toFile();
		this.process = new ProcessBuilder(List.of(java, "-Xmx96m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-cp",
				System.getProperty("java.class.path"), DaemonMain.class.getName(), "--settings",
				this.settings.toString()))
			.redirectErrorStream(true)
			.redirectOutput(ProcessBuilder.Redirect.appendTo(log))
			.start();
	}

	/**
	 * Sends a signal, unless the process has ended.
	 * @param name the signal, such as TERM
	 * @throws IOException if it cannot be sent
	 * @throws InterruptedException if the wait is interrupted
	 */
	public void signal(String name) throws IOException, InterruptedException {
		if (this.process.isAlive()) {
			new ProcessBuilder("kill", "-" + name, Long.toString(this.process.pid())).start().waitFor();
		}
	}

	/**
	 * Waits until the process exits.
	 * @return false if it has not exited within the time limit
	 * @throws InterruptedException if the wait is interrupted
	 */
	public boolean awaitExit() throws InterruptedException {
		return this.process.waitFor(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS);
	}

	/**
	 * Returns whether the process is running.
	 * @return true if it is
	 */
	public boolean isAlive() {
		return this.process.isAlive();
	}

	/**
	 * Returns the output of the process, over all its starts.
	 * @return the text
	 * @throws IOException if it cannot be read
	 */
	public String log() throws IOException {
		return Files.readString(this.folder.resolve("log"));
	}

	private static InetSocketAddress freeAddress() throws IOException {
		// Below the ports of outgoing connections, which would take it until it is used.
		for (int attempt = 0; attempt < MAX_PORT_ATTEMPTS; attempt++) {
			int port = FIRST_PORT + Math.floorMod(NEXT_PORT.getAndIncrement(), PORTS);
			try (ServerSocket socket = new ServerSocket(port)) {
				return new InetSocketAddress("127.0.0.1", socket.getLocalPort());
			}
			catch (BindException ex) {
				// In use; the next one is tried.
			}
		}
		throw new IOException("No port from " + FIRST_PORT + " on is free");
	}

	@Override
	public void close() throws InterruptedException {
		this.process.destroyForcibly().waitFor(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS);
	}

}
