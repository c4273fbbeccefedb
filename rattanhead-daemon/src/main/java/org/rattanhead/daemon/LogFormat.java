package org.rattanhead.daemon;

/**
 * The format of log lines.
 */
public enum LogFormat {

	/** Text for people. */
	TEXT,

	/** One JSON object a line. */
	JSON

}
