package org.rattanhead.core.work;

import org.rattanhead.core.request.AttemptId;

/**
 * What becomes of an attempt. One of {@link WorkEnded} and {@link WorkFailed} is the last
 * signal.
 */
public sealed interface WorkSignal permits WorkStarted, WorkChunk, WorkEnded, WorkFailed {

	/**
	 * Returns the attempt that the signal is about.
	 * @return the attempt
	 */
	AttemptId attempt();

}
