package org.rattanhead.daemon;

/**
 * The format of log lines.
 */
public enum LogFormat {

	/** Human-readable text. */
	TEXT,

	/** One JSON object per line. */
	JSON

}
