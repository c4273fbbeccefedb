package org.rattanhead.daemon.soak;

/**
 * What a {@link FaultProxy} does with the bytes of its connections.
 */
enum LinkState {

	/** Bytes pass. */
	OPEN,

	/** Bytes pass late. */
	SLOW,

	/** Open connections fall silent for good, both ways. */
	SILENT,

	/** Requests pass, and the answers of open connections are lost for good. */
	ONE_WAY,

	/** Connections are reset. */
	RESET

}
