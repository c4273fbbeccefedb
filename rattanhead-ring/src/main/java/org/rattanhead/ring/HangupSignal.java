package org.rattanhead.ring;

import sun.misc.Signal;
import sun.misc.SignalHandler;

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
	 * @return restores the earlier handling
	 */
	public static Runnable register(Runnable action) {
		Signal signal = new Signal("HUP");
		SignalHandler earlier = Signal.handle(signal, (received) -> action.run());
		return () -> Signal.handle(signal, earlier);
	}

}
