package org.rattanhead.ring;

/**
 * Runs an action when the JVM shuts down.
 */
public final class ShutdownHook {

	private ShutdownHook() {
	}

	/**
	 * Registers an action. The JVM exits only after the action returns.
	 * @param action the action
	 */
	public static void register(Runnable action) {
		Runtime.getRuntime().addShutdownHook(new Thread(action, "shutdown"));
	}

}
