package org.rattanhead.standin.log;

/**
 * Time has passed.
 */
record LogTick() implements LogEvent {
}
