package org.rattanhead.standin.engine;

/**
 * A request parsed by the engine.
 *
 * @param id the request id
 * @param priority scheduling priority; a lower number is served first
 * @param promptDigest digest of the prompt
 * @param promptTokens length of the prompt, in tokens
 * @param outputTokens length of the answer, in tokens
 * @param streamed whether the answer is a stream
 * @param fencingNumber the fencing number, 0 if the request has none
 */
record EngineRequest(String id, int priority, long promptDigest, int promptTokens, int outputTokens, boolean streamed,
		long fencingNumber) {

	long memoryTokens() {
		return (long) this.promptTokens + this.outputTokens;
	}

}
