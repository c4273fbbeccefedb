package org.rattanhead.daemon.gateway;

import java.util.Map;

import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.core.Appender;
import org.apache.logging.log4j.core.appender.AsyncAppender;
import org.apache.logging.log4j.core.appender.ConsoleAppender;
import org.apache.logging.log4j.core.config.AbstractConfiguration;
import org.apache.logging.log4j.core.config.AppenderRef;
import org.apache.logging.log4j.core.config.ConfigurationSource;
import org.apache.logging.log4j.core.config.LoggerConfig;

/**
 * The Log4j configuration of a gateway, assembled without Log4j's plugin system, since a
 * scan for plugins and their annotations delays the start.
 */
final class GatewayLogConfiguration extends AbstractConfiguration {

	private static final int QUEUE_LINES = 2_048;

	/**
	 * Levels of the libraries. Netty warns if it finds no hardware address for its
	 * machine id, which datagrams do not need. A broken answer is logged as a decision
	 * about its request, without a stack trace.
	 */
	private static final Map<String, Level> LIBRARY_LEVELS = Map.of("io.undertow", Level.WARN, "org.xnio", Level.WARN,
			"org.jboss", Level.WARN, "io.netty", Level.ERROR, "io.undertow.client", Level.OFF);

	private final Level level;

	GatewayLogConfiguration(Level level) {
		super(null, ConfigurationSource.NULL_SOURCE);
		this.level = level;
	}

	@Override
	public void initialize() {
		// The shutdown hook of the gateway still logs while requests end.
		this.isShutdownHookEnabled = false;
		Appender decisions = queue(GatewayLogs.DECISIONS, JsonLineLayout.fields());
		Appender texts = queue("text", JsonLineLayout.text());
		LIBRARY_LEVELS
			.forEach((library, libraryLevel) -> addLogger(library, new LoggerConfig(library, libraryLevel, true)));
		LoggerConfig decisionLogger = new LoggerConfig(GatewayLogs.DECISIONS, this.level, false);
		decisionLogger.addAppender(decisions, null, null);
		addLogger(GatewayLogs.DECISIONS, decisionLogger);
		getRootLogger().setLevel(this.level);
		getRootLogger().addAppender(texts, null, null);
		setState(State.INITIALIZED);
	}

	private Appender queue(String name, JsonLineLayout layout) {
		Appender appender = ConsoleAppender.createDefaultAppenderForLayout(layout);
		addAppender(appender);
		AppenderRef[] references = { AppenderRef.createAppenderRef(appender.getName(), null, null) };
		AsyncAppender queue = AsyncAppender.newBuilder()
			.setName(name)
			.setAppenderRefs(references)
			.setBlocking(false)
			.setBufferSize(QUEUE_LINES)
			.setConfiguration(this)
			.build();
		addAppender(queue);
		return queue;
	}

}
