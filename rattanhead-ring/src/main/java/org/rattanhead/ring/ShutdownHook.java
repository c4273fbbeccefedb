package org.rattanhead.ring;

/**
 * Runs an action when the process is asked to end.
 */
public final class ShutdownHook {

	private ShutdownHook() {
	}

	/**
	 * Registers an action. The process ends after it returns.
	 * @param action the action
	 */
	public static void register(Runnable action) {
		Runtime.getRuntime().addShutdownHook(new Thread(action, "shutdown"));
	}

}
