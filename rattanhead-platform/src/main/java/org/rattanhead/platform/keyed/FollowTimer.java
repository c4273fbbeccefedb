package org.rattanhead.platform.keyed;

/**
 * Runs actions after a delay. Tests replace it by virtual time.
 */
@FunctionalInterface
public interface FollowTimer {

	/**
	 * Runs an action once.
	 * @param delayMillis the delay, in milliseconds
	 * @param action the action; it must not block
	 */
	void after(long delayMillis, Runnable action);

}
