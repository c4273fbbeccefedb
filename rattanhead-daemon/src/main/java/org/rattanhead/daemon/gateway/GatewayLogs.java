package org.rattanhead.daemon.gateway;

import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.core.LoggerContext;
import org.apache.logging.log4j.core.config.Configurator;

/**
 * Configures Log4j to write one JSON object per line to the standard output. A full queue
 * drops lines, so that a slow reader of the output blocks no duty.
 */
final class GatewayLogs {

	/** The logger of decisions, whose messages are the fields of a JSON object. */
	static final String DECISIONS = "decisions";

	private GatewayLogs() {
	}

	static void apply(Level level) {
		GatewayLogConfiguration configuration = new GatewayLogConfiguration(level);
		LoggerContext context = Configurator.initialize(configuration);
		if (context.getConfiguration() != configuration) {
			context.reconfigure(configuration);
		}
	}

	/**
	 * Writes the queued lines and stops logging.
	 */
	static void stop() {
		LogManager.shutdown();
	}

}
