package org.rattanhead.ring;

import sun.misc.Signal;

/**
 * Runs an action when the process receives SIGHUP. Without it the virtual machine ends
 * the process on that signal.
 */
public final class HangupSignal {

	private HangupSignal() {
	}

	/**
	 * Registers an action, in place of an earlier one.
	 * @param action the action; it runs on a thread of the virtual machine
	 */
	public static void register(Runnable action) {
		Signal.handle(new Signal("HUP"), (signal) -> action.run());
	}

}
