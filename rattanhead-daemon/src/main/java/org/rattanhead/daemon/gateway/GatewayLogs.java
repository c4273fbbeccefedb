package org.rattanhead.daemon.gateway;

import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.core.appender.ConsoleAppender;
import org.apache.logging.log4j.core.config.Configurator;
import org.apache.logging.log4j.core.config.builder.api.ConfigurationBuilder;
import org.apache.logging.log4j.core.config.builder.api.ConfigurationBuilderFactory;
import org.apache.logging.log4j.core.config.builder.impl.BuiltConfiguration;

/**
 * Configures Log4j to write one JSON object per line to the standard output. A full queue
 * drops lines, so that a slow reader of the output blocks no duty.
 */
final class GatewayLogs {

	/** The logger of decisions, whose messages are the fields of a JSON object. */
	static final String DECISIONS = "decisions";

	private static final String TEXT = "text";

	private static final String TIME_AND_LEVEL = "{\"at\":\"%d{yyyy-MM-dd'T'HH:mm:ss.SSS}{UTC}Z\",\"level\":\"%p\",";

	private static final int QUEUE_LINES = 2_048;

	private GatewayLogs() {
	}

	static void apply(Level level) {
		ConfigurationBuilder<BuiltConfiguration> builder = ConfigurationBuilderFactory.newConfigurationBuilder();
		addConsole(builder, DECISIONS, TIME_AND_LEVEL + "%m}%n");
		addConsole(builder, TEXT,
				TIME_AND_LEVEL + "\"message\":\"%enc{%m}{JSON}\",\"error\":\"%enc{%throwable}{JSON}\"}%n");
		for (String library : new String[] { "io.undertow", "org.xnio", "org.jboss" }) {
			builder.add(builder.newLogger(library, Level.WARN));
		}
		// Netty warns if it finds no hardware address for its machine id, which
		// datagrams do not need.
		builder.add(builder.newLogger("io.netty", Level.ERROR));
		// A broken answer is logged as a decision about its request, without a stack
		// trace.
		builder.add(builder.newLogger("io.undertow.client", Level.OFF));
		builder.add(builder.newLogger(DECISIONS, level)
			.add(builder.newAppenderRef(DECISIONS + "-queue"))
			.addAttribute("additivity", false));
		builder.add(builder.newRootLogger(level).add(builder.newAppenderRef(TEXT + "-queue")));
		Configurator.reconfigure(builder.build());
	}

	private static void addConsole(ConfigurationBuilder<BuiltConfiguration> builder, String name, String pattern) {
		builder.add(builder.newAppender(name, "Console")
			.addAttribute("target", ConsoleAppender.Target.SYSTEM_OUT)
			.add(builder.newLayout("PatternLayout")
				.addAttribute("pattern", pattern)
				.addAttribute("alwaysWriteExceptions", false)));
		builder.add(builder.newAppender(name + "-queue", "Async")
			.addAttribute("blocking", false)
			.addAttribute("bufferSize", QUEUE_LINES)
			.addComponent(builder.newAppenderRef(name)));
	}

}
