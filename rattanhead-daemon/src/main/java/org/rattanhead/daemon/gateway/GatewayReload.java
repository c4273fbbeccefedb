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

	private GatewaySettings inForce;

	GatewayReload(Path file, GatewaySettings inForce) {
		this.file = file;
		this.inForce = inForce;
	}

	@Override
	public synchronized void run() {
		try {
			GatewaySettings read = GatewaySettingsFile.parse(IniFile.read(this.file));
			if (read.equals(this.inForce)) {
				LOGGER.info("daemon: settings read again; nothing changed");
				return;
			}
			Configurator.setLevel(GatewayLogs.DECISIONS, read.logLevel());
			Configurator.setRootLevel(read.logLevel());
			boolean onlyLevel = read.equals(this.inForce.with(read.logLevel()));
			this.inForce = this.inForce.with(read.logLevel());
			LOGGER.info("daemon: settings read again; log level {}{}", read.logLevel(),
					onlyLevel ? "" : "; restart the daemon for the other changes");
		}
		catch (SettingsException ex) {
			LOGGER.error("daemon: invalid settings; the previous ones stay in effect: {}", ex.getMessage());
		}
	}

}
