package org.rattanhead.daemon.gateway;

import java.nio.file.Path;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.apache.logging.log4j.core.config.Configurator;

import org.rattanhead.settings.IniFile;
import org.rattanhead.settings.SettingsException;

/**
 * Reads the settings again. A new log level takes effect at once, other changes need a
 * restart. Invalid settings change nothing.
 */
final class GatewayReload implements Runnable {

	private static final Logger LOGGER = LogManager.getLogger(GatewayReload.class);

	private final Path file;

	private GatewaySettings current;

	GatewayReload(Path file, GatewaySettings current) {
		this.file = file;
		this.current = current;
	}

	@Override
	public synchronized void run() {
		try {
			GatewaySettings reloaded = GatewaySettingsFile.parse(IniFile.read(this.file));
			if (reloaded.equals(this.current)) {
				LOGGER.info("daemon: settings read again; nothing changed");
				return;
			}
			Configurator.setLevel(GatewayLogs.DECISIONS, reloaded.logLevel());
			Configurator.setRootLevel(reloaded.logLevel());
			boolean onlyLevelChanged = reloaded.equals(this.current.withLogLevel(reloaded.logLevel()));
			this.current = this.current.withLogLevel(reloaded.logLevel());
			LOGGER.info("daemon: settings read again; log level {}{}", reloaded.logLevel(),
					onlyLevelChanged ? "" : "; restart the daemon for the other changes");
		}
		catch (SettingsException ex) {
			LOGGER.error("daemon: invalid settings; the previous ones stay in effect: {}", ex.getMessage());
		}
	}

}
