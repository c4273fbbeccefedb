package org.rattanhead.daemon;

import org.apache.logging.log4j.core.appender.ConsoleAppender;
import org.apache.logging.log4j.core.config.Configurator;
import org.apache.logging.log4j.core.config.builder.api.AppenderComponentBuilder;
import org.apache.logging.log4j.core.config.builder.api.ConfigurationBuilder;
import org.apache.logging.log4j.core.config.builder.api.ConfigurationBuilderFactory;
import org.apache.logging.log4j.core.config.builder.api.LayoutComponentBuilder;
import org.apache.logging.log4j.core.config.builder.impl.BuiltConfiguration;

/**
 * Configures Log4j to write to the standard error stream.
 */
public final class LogSetup {

	private static final String APPENDER = "console";

	private static final String PATTERN = "%d{yyyy-MM-dd'T'HH:mm:ss.SSSXXX} %-5level %msg%n%throwable";

	private LogSetup() {
	}

	/**
	 * Applies settings.
	 * @param settings the settings
	 */
	public static void apply(LogSettings settings) {
		ConfigurationBuilder<BuiltConfiguration> builder = ConfigurationBuilderFactory.newConfigurationBuilder();
		AppenderComponentBuilder appender = builder.newAppender(APPENDER, "Console")
			.addAttribute("target", ConsoleAppender.Target.SYSTEM_ERR)
			.add(layout(builder, settings.format()));
		builder.add(appender);
		builder.add(builder.newLogger("io.undertow", org.apache.logging.log4j.Level.WARN));
		builder.add(builder.newLogger("org.xnio", org.apache.logging.log4j.Level.WARN));
		builder.add(builder.newLogger("org.jboss", org.apache.logging.log4j.Level.WARN));
		builder.add(builder.newLogger("io.netty", org.apache.logging.log4j.Level.WARN));
		builder.add(builder.newRootLogger(settings.level()).add(builder.newAppenderRef(APPENDER)));
		Configurator.reconfigure(builder.build());
	}

	private static LayoutComponentBuilder layout(ConfigurationBuilder<BuiltConfiguration> builder, LogFormat format) {
		if (format == LogFormat.JSON) {
			return builder.newLayout("JsonTemplateLayout")
				.addAttribute("eventTemplateUri", "classpath:rattanhead-log.json");
		}
		return builder.newLayout("PatternLayout").addAttribute("pattern", PATTERN);
	}

}
