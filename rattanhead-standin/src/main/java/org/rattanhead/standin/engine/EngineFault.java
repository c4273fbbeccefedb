package org.rattanhead.standin.engine;

/**
 * Faults that can be injected into an engine.
 */
public enum EngineFault {

	/** All connections close, memory is lost, and the engine restarts in cold start. */
	CRASH,

	/**
	 * The engine makes no progress for the given time and never answers load, memory and
	 * count requests received in it; connections stay open.
	 */
	SILENCE,

	/** The next answers carry the id of another request. */
	CROSS_ANSWERS,

	/** The connections of the next answers close after about half of the tokens. */
	TRUNCATE_ANSWERS,

	/** The next cancellations are ignored. */
	IGNORE_CANCELS

}
