package org.rattanhead.daemon;

/**
 * Adapts actions without a result to handlers that return one.
 */
final class Actions {

	private Actions() {
	}

	static boolean done(Runnable action) {
		action.run();
		return true;
	}

}
