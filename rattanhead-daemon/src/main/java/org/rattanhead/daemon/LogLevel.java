package org.rattanhead.daemon;

import org.apache.logging.log4j.Level;

/**
 * The log levels accepted in settings.
 */
public enum LogLevel {

	/** Faults that need an operator. */
	ERROR(Level.ERROR),

	/** Faults that the daemon handles without an operator. */
	WARN(Level.WARN),

	/** Decisions and changes of state. */
	INFO(Level.INFO),

	/** Details for developers. */
	DEBUG(Level.DEBUG);

	private final Level level;

	LogLevel(Level level) {
		this.level = level;
	}

	/**
	 * Returns the level of the logging library.
	 * @return the level
	 */
	public Level level() {
		return this.level;
	}

}
