package org.rattanhead.standin.engine;

/**
 * Faults of an engine, set through its API.
 */
public enum EngineFault {

	/** All connections break, memory is lost, and the engine restarts cold. */
	CRASH,

	/** Nothing is answered for the time given; connections stay open. */
	SILENCE,

	/** The next answers carry the ids of other requests. */
	CROSS_ANSWERS,

	/** The next answers break off in the middle without an error. */
	TRUNCATE_ANSWERS,

	/** The next cancellations are ignored. */
	IGNORE_CANCELS

}
