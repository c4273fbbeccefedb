package org.rattanhead.decision.forward;

import org.rattanhead.core.request.AttemptId;

/**
 * Allows an attempt to receive more of its answer.
 *
 * @param attempt the attempt
 * @param bytes the number of bytes, beyond {@link #WINDOW_BYTES} and earlier grants
 */
public record GrantBytes(AttemptId attempt, long bytes) implements ForwardCommand {

	/** How much of an answer an attempt receives before the first grant, in bytes. */
	public static final long WINDOW_BYTES = 32 * 1024;

}
