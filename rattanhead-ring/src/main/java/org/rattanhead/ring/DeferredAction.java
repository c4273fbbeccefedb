package org.rattanhead.ring;

/**
 * An action that may be requested before it is known. It then runs once as soon as it is
 * known.
 */
public final class DeferredAction implements Runnable {

	private Runnable action;

	private boolean requested;

	/**
	 * Sets the action, and runs it if it was requested before.
	 * @param newAction the action
	 */
	public void set(Runnable newAction) {
		boolean due;
		synchronized (this) {
			this.action = newAction;
			due = this.requested;
			this.requested = false;
		}
		if (due) {
			newAction.run();
		}
	}

	@Override
	public void run() {
		Runnable known;
		synchronized (this) {
			known = this.action;
			this.requested = known == null;
		}
		if (known != null) {
			known.run();
		}
	}

}
