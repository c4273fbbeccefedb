package org.rattanhead.ring;

import sun.misc.Signal;

/**
 * Runs an action when the process receives SIGHUP. Without a handler, the JVM terminates
 * on that signal.
 */
public final class HangupSignal {

	private HangupSignal() {
	}

	/**
	 * Registers an action and replaces an earlier one.
	 * @param action the action; it runs on a signal handler thread of the JVM
	 */
	public static void register(Runnable action) {
		Signal.handle(new Signal("HUP"), (signal) -> action.run());
	}

}
