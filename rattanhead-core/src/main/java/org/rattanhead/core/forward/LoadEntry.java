package org.rattanhead.core.forward;

/**
 * Work that a daemon has placed on an instance.
 *
 * @param key identifies the work across daemons
 * @param instance the id of the instance
 * @param memoryTokens the memory it occupies there, in tokens
 * @param readMillis the time to read its part of the prompt, in milliseconds
 * @param gapMillis the target for the longest pause in its stream, in milliseconds; 0 if
 * it writes no stream there
 * @param worth the value of the work, part of which is lost if its stream pauses longer
 * @param remainingMillis the time until it ends at the latest, in milliseconds
 * @param deferred whether the instance admits it after all other work
 * @param workspaceHash a hash of the name of the workspace that it is for, 0 if unknown
 */
public record LoadEntry(String key, String instance, long memoryTokens, long readMillis, long gapMillis, double worth,
		long remainingMillis, boolean deferred, int workspaceHash) {

	/**
	 * Creates work for an unknown workspace.
	 * @param key identifies the work across daemons
	 * @param instance the id of the instance
	 * @param memoryTokens the memory it occupies there, in tokens
	 * @param readMillis the time to read its part of the prompt, in milliseconds
	 * @param gapMillis the target for the longest pause in its stream, in milliseconds
	 * @param worth the value of the work
	 * @param remainingMillis the time until it ends at the latest, in milliseconds
	 * @param deferred whether the instance admits it after all other work
	 */
	public LoadEntry(String key, String instance, long memoryTokens, long readMillis, long gapMillis, double worth,
			long remainingMillis, boolean deferred) {
		this(key, instance, memoryTokens, readMillis, gapMillis, worth, remainingMillis, deferred, 0);
	}

	/**
	 * Creates work that is not deferred.
	 * @param key identifies the work across daemons
	 * @param instance the id of the instance
	 * @param memoryTokens the memory it occupies there, in tokens
	 * @param readMillis the time to read its part of the prompt, in milliseconds
	 * @param gapMillis the target for the longest pause in its stream, in milliseconds
	 * @param worth the value of the work
	 * @param remainingMillis the time until it ends at the latest, in milliseconds
	 */
	public LoadEntry(String key, String instance, long memoryTokens, long readMillis, long gapMillis, double worth,
			long remainingMillis) {
		this(key, instance, memoryTokens, readMillis, gapMillis, worth, remainingMillis, false);
	}

	/**
	 * Returns whether it writes a stream on the instance.
	 * @return true if it does, false if it only reads a part of a prompt
	 */
	public boolean writesStream() {
		return this.gapMillis > 0;
	}

}
