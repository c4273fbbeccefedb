package org.rattanhead.standin.engine;

/**
 * A request as the engine reads it.
 *
 * @param id the request id
 * @param priority order of service; a lower number goes first
 * @param promptDigest digest of the prompt
 * @param promptTokens length of the prompt, in tokens
 * @param outputTokens length of the answer, in tokens
 * @param streamed whether the answer is a stream
 * @param fencingNumber the fencing number it carries, 0 if it carries none
 */
record EngineRequest(String id, int priority, long promptDigest, int promptTokens, int outputTokens, boolean streamed,
		long fencingNumber) {

	long memoryTokens() {
		return (long) this.promptTokens + this.outputTokens;
	}

}
