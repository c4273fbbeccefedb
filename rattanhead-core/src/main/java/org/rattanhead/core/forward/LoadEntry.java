package org.rattanhead.core.forward;

/**
 * Work that a daemon has placed on an instance.
 *
 * @param key names the work, unique across daemons
 * @param instance the id of the instance
 * @param memoryTokens the memory it takes there, in tokens
 * @param readMillis the time its part of the prompt takes to read, in milliseconds
 * @param gapMillis the longest pause that its stream bears, in milliseconds; 0 if it
 * writes no stream there
 * @param worth what is lost if its stream pauses longer
 * @param remainingMillis when it ends at the latest, in milliseconds from now
 */
public record LoadEntry(String key, String instance, long memoryTokens, long readMillis, long gapMillis, double worth,
		long remainingMillis) {

	/**
	 * Tells whether it writes a stream on the instance.
	 * @return true if it does, false if it only helps to read
	 */
	public boolean writes() {
		return this.gapMillis > 0;
	}

}
