package org.rattanhead.core.work;

import org.rattanhead.core.request.AttemptId;

/**
 * The progress of an attempt. The last signal is {@link WorkEnded} or {@link WorkFailed}.
 */
public sealed interface WorkSignal permits WorkStarted, WorkChunk, WorkEnded, WorkFailed {

	/**
	 * Returns the attempt that the signal is about.
	 * @return the attempt
	 */
	AttemptId attempt();

}
