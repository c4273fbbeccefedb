package org.rattanhead.daemon;

/**
 * A service that ends its requests before it closes.
 */
public interface DrainableService extends AutoCloseable {

	/**
	 * Accepts no more work and waits, within the grace period, until the requests have
	 * ended.
	 */
	void drain();

	@Override
	void close();

}
