package org.rattanhead.daemon;

import org.apache.logging.log4j.Level;

/**
 * The levels that settings may name.
 */
public enum LogLevel {

	ERROR(Level.ERROR), WARN(Level.WARN), INFO(Level.INFO), DEBUG(Level.DEBUG);

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
