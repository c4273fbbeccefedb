package org.rattanhead.proof;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;

import org.rattanhead.core.host.Host;
import org.rattanhead.daemon.DaemonMain;

/**
 * A daemon that runs in a separate process.
 */
final class DaemonProcess implements AutoCloseable {

	private final Host host;

	private final Process process;

	private DaemonProcess(Host host, Process process) {
		this.host = host;
		this.process = process;
	}

	static DaemonProcess start(Path folder, Host host, String logService, String hostList) throws IOException {
		Path settings = folder.resolve(host.name() + ".ini");
		Files.writeString(settings, """
				[daemon]
				host = %s
				[callers]
				listen = %s
				address-ttl = 300ms
				[peers]
				listen = %s
				[platform]
				log-service = %s
				host-list = %s
				[logs]
				format = json
				""".formatted(host.name(), host.callerAddress(), host.peerAddress(), logService, hostList));
		String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
		Process process = new ProcessBuilder(List.of(java, "-Xmx256m", "-cp", System.getProperty("java.class.path"),
				DaemonMain.class.getName(), "--settings", settings.toString()))
			.redirectOutput(folder.resolve(host.name() + ".out").toFile())
			.redirectError(folder.resolve(host.name() + ".err").toFile())
			.start();
		return new DaemonProcess(host, process);
	}

	Host host() {
		return this.host;
	}

	void terminate() {
		this.process.destroy();
	}

	void kill() {
		this.process.destroyForcibly();
	}

	boolean awaitExit(long timeoutSeconds) throws InterruptedException {
		return this.process.waitFor(timeoutSeconds, TimeUnit.SECONDS);
	}

	@Override
	public void close() {
		this.process.destroyForcibly();
	}

}
