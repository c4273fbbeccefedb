package org.rattanhead.decision.forward;

/**
 * Says which daemons start again.
 */
@FunctionalInterface
interface RestartRule {

	/**
	 * Tests a daemon.
	 * @param host its host
	 * @param second the second, from 0
	 * @return true if it starts again
	 */
	boolean restarts(String host, long second);

}
