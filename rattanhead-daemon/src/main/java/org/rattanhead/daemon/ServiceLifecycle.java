package org.rattanhead.daemon;

import java.util.concurrent.CountDownLatch;
import java.util.function.Supplier;

/**
 * Starts the service of a process and shuts it down, whichever stage of its start the
 * shutdown finds it in: a service that is starting is drained once it has started, and
 * one that has not begun to start never does.
 */
public final class ServiceLifecycle {

	private final CountDownLatch stopped = new CountDownLatch(1);

	private DrainableService service;

	private boolean shutDown;

	/**
	 * Starts the service and waits until it is shut down.
	 * @param start starts the service
	 */
	public void run(Supplier<DrainableService> start) {
		if (!start(start)) {
			return;
		}
		try {
			this.stopped.await();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	/**
	 * Shuts the service down, after its start if that is in progress.
	 */
	public void shutDown() {
		DrainableService started = requestShutdown();
		if (started == null) {
			return;
		}
		try (started) {
			started.drain();
		}
		finally {
			this.stopped.countDown();
		}
	}

	// Holds the lock during the start, so that a shutdown waits for its end.
	private synchronized boolean start(Supplier<DrainableService> start) {
		if (!this.shutDown) {
			this.service = start.get();
		}
		return !this.shutDown;
	}

	private synchronized DrainableService requestShutdown() {
		this.shutDown = true;
		return this.service;
	}

}
