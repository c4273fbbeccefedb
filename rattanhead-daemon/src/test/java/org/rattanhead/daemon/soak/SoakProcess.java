package org.rattanhead.daemon.soak;

import java.io.File;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;

import org.rattanhead.daemon.DaemonMain;

/**
 * A gateway as a process that is sent signals. Only processes started here are ended.
 */
final class SoakProcess implements AutoCloseable {

	private static final long EXIT_SECONDS = 8;

	private final Path folder;

	private final Path settings;

	private final InetSocketAddress callers;

	private Process process;

	SoakProcess(Path parent, String host, InetSocketAddress store) throws IOException {
		this.folder = Files.createDirectories(parent.resolve(host));
		this.callers = free();
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
				""".formatted(host, this.callers.getPort(), free().getPort(), free().getPort(), free().getPort(),
				free().getPort(), store.getPort()));
		start();
	}

	InetSocketAddress callers() {
		return this.callers;
	}

	void start() throws IOException {
		String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
		File log = this.folder.resolve("log").toFile();
		this.process = new ProcessBuilder(List.of(java, "-Xmx96m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-cp",
				System.getProperty("java.class.path"), DaemonMain.class.getName(), "--settings",
				this.settings.toString()))
			.redirectErrorStream(true)
			.redirectOutput(ProcessBuilder.Redirect.appendTo(log))
			.start();
	}

	void signal(String name) throws IOException, InterruptedException {
		if (this.process.isAlive()) {
			new ProcessBuilder("kill", "-" + name, Long.toString(this.process.pid())).start().waitFor();
		}
	}

	boolean exits() throws InterruptedException {
		return this.process.waitFor(EXIT_SECONDS, TimeUnit.SECONDS);
	}

	boolean alive() {
		return this.process.isAlive();
	}

	private static InetSocketAddress free() throws IOException {
		try (ServerSocket socket = new ServerSocket(0)) {
			return new InetSocketAddress("127.0.0.1", socket.getLocalPort());
		}
	}

	@Override
	public void close() throws InterruptedException {
		this.process.destroyForcibly().waitFor(EXIT_SECONDS, TimeUnit.SECONDS);
	}

}
