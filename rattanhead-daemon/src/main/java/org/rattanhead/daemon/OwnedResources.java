package org.rattanhead.daemon;

import java.util.ArrayDeque;
import java.util.Deque;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * The closeable components of a daemon, closed in the reverse order of their start. Safe
 * for use by several threads.
 */
public final class OwnedResources implements AutoCloseable {

	private static final Logger LOGGER = LogManager.getLogger(OwnedResources.class);

	private final Deque<AutoCloseable> resources = new ArrayDeque<>();

	/**
	 * Registers a resource to be closed.
	 * @param <T> the type of the resource
	 * @param resource the resource
	 * @return the resource
	 */
	public synchronized <T extends AutoCloseable> T own(T resource) {
		this.resources.push(resource);
		return resource;
	}

	@Override
	public synchronized void close() {
		while (!this.resources.isEmpty()) {
			AutoCloseable resource = this.resources.pop();
			try {
				resource.close();
			}
			catch (Exception ex) {
				LOGGER.warn("daemon: {} did not close cleanly", resource.getClass().getSimpleName(), ex);
			}
		}
	}

}
