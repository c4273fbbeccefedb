package org.rattanhead.daemon;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.Set;

import org.rattanhead.http.FrontEndSettings;
import org.rattanhead.peer.PeerSettings;
import org.rattanhead.settings.IniFile;
import org.rattanhead.settings.SectionReader;
import org.rattanhead.settings.SettingsException;
import org.rattanhead.settings.SettingsFileReader;

/**
 * Reads the settings of a daemon from an INI file.
 */
public final class DaemonSettingsFile {

	private static final Set<String> SECTIONS = Set.of("daemon", "callers", "peers", "platform", "logs", "claims",
			"shutdown");

	private static final int MAX_IO_THREADS = 64;

	private static final int DEFAULT_IO_THREADS = 2;

	private static final int MAX_BODY_BYTES = 64 * 1024 * 1024;

	private static final int DEFAULT_BODY_BYTES = 16 * 1024 * 1024;

	private static final long DEFAULT_BODY_TIMEOUT_MILLIS = 10_000;

	private static final long DEFAULT_ADDRESS_TTL_MILLIS = 2_000;

	private static final long DEFAULT_PING_INTERVAL_MILLIS = 500;

	private static final long DEFAULT_IDLE_TIMEOUT_MILLIS = 2_000;

	private static final int MAX_CLAIMS_PER_BATCH = 10_000;

	private static final int DEFAULT_CLAIMS_PER_BATCH = 2_000;

	private static final long DEFAULT_DRAIN_TIMEOUT_MILLIS = 120_000;

	private final SettingsFileReader reader;

	private DaemonSettingsFile(IniFile file) {
		this.reader = new SettingsFileReader(file, SECTIONS);
	}

	/**
	 * Reads and checks a file.
	 * @param path the file
	 * @return the settings
	 * @throws SettingsException listing all faults
	 */
	public static DaemonSettings read(Path path) {
		return parse(IniFile.read(path));
	}

	/**
	 * Builds the settings from a parsed file.
	 * @param file the parsed file
	 * @return the settings
	 * @throws SettingsException listing all faults
	 */
	public static DaemonSettings parse(IniFile file) {
		return new DaemonSettingsFile(file).settings();
	}

	private DaemonSettings settings() {
		SectionReader daemon = this.reader.section("daemon");
		String host = daemon.text("host");
		daemon.reportUnknownKeys();
		FrontEndSettings callers = callers(this.reader.section("callers"));
		PeerSettings peers = peers(host, this.reader.section("peers"));
		SectionReader platform = this.reader.section("platform");
		InetSocketAddress logService = SettingsFileReader.address(platform, "log-service");
		InetSocketAddress hostList = SettingsFileReader.address(platform, "host-list");
		platform.reportUnknownKeys();
		LogSettings logs = logs(this.reader.section("logs"));
		SectionReader claims = this.reader.section("claims");
		int claimBatch = claims.integer("max-batch", 1, MAX_CLAIMS_PER_BATCH, DEFAULT_CLAIMS_PER_BATCH);
		claims.reportUnknownKeys();
		SectionReader shutdown = this.reader.section("shutdown");
		long drainDelayMillis = shutdown.durationMillis("drain-delay", callers.addressTtlMillis());
		long drainTimeoutMillis = shutdown.durationMillis("drain-timeout", DEFAULT_DRAIN_TIMEOUT_MILLIS);
		shutdown.reportUnknownKeys();
		this.reader.throwIfFaulty();
		return new DaemonSettings(host, callers, peers, logService, hostList, logs, claimBatch, drainDelayMillis,
				drainTimeoutMillis);
	}

	private FrontEndSettings callers(SectionReader section) {
		FrontEndSettings settings = new FrontEndSettings(SettingsFileReader.address(section, "listen"),
				section.integer("io-threads", 1, MAX_IO_THREADS, DEFAULT_IO_THREADS),
				section.integer("max-body-bytes", 1, MAX_BODY_BYTES, DEFAULT_BODY_BYTES),
				section.durationMillis("body-timeout", DEFAULT_BODY_TIMEOUT_MILLIS),
				section.durationMillis("address-ttl", DEFAULT_ADDRESS_TTL_MILLIS));
		section.reportUnknownKeys();
		return settings;
	}

	private PeerSettings peers(String host, SectionReader section) {
		PeerSettings settings = new PeerSettings(host, SettingsFileReader.address(section, "listen"),
				section.durationMillis("ping", DEFAULT_PING_INTERVAL_MILLIS),
				section.durationMillis("silence", DEFAULT_IDLE_TIMEOUT_MILLIS));
		section.reportUnknownKeys();
		return settings;
	}

	private static LogSettings logs(SectionReader section) {
		LogSettings settings = new LogSettings(section.enumValue("format", LogFormat.class, LogFormat.TEXT),
				section.enumValue("level", LogLevel.class, LogLevel.INFO).level());
		section.reportUnknownKeys();
		return settings;
	}

}
