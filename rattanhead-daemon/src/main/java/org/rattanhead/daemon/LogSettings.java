package org.rattanhead.daemon;

import org.apache.logging.log4j.Level;

/**
 * Settings of the logs.
 *
 * @param format the format of the lines
 * @param level the lowest level that is logged
 */
public record LogSettings(LogFormat format, Level level) {
}
