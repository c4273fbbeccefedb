package org.rattanhead.core.request;

/**
 * An admitted request to run on an upstream.
 *
 * @param attempt the attempt
 * @param workspace the workspace it is charged to
 * @param target the model or plain service
 * @param call the call to make
 * @param priority the scheduling priority; lower numbers are served first
 * @param promptTokens estimated length of the prompt, in tokens
 * @param maxOutputTokens the longest answer, in tokens
 * @param deadlineNanos the deadline, on the monotonic clock of this process
 * @param idempotencyKey the key of a request that may not be repeated, empty if it may
 */
public record Work(AttemptId attempt, String workspace, Target target, UpstreamCall call, int priority,
		int promptTokens, int maxOutputTokens, long deadlineNanos, String idempotencyKey) {

	/**
	 * Returns the memory the request needs on an engine.
	 * @return prompt and answer, in tokens
	 */
	public long memoryTokens() {
		return (long) this.promptTokens + this.maxOutputTokens;
	}

	/**
	 * Returns whether the request may be attempted again after an attempt that may have
	 * been run.
	 * @return true if the request is idempotent
	 */
	public boolean repeatable() {
		return this.idempotencyKey.isEmpty();
	}

	/**
	 * Returns the same work under another attempt.
	 * @param next the attempt
	 * @return the copy
	 */
	public Work withAttempt(AttemptId next) {
		return new Work(next, this.workspace, this.target, this.call, this.priority, this.promptTokens,
				this.maxOutputTokens, this.deadlineNanos, this.idempotencyKey);
	}

}
