package org.rattanhead.daemon.soak;

/**
 * A step that begins or ends a fault.
 */
@FunctionalInterface
interface SoakAction {

	/**
	 * Runs the step.
	 * @throws Exception if the step itself fails
	 */
	void run() throws Exception;

}
