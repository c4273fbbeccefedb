package org.rattanhead.core.work;

import org.rattanhead.core.request.AttemptId;

/**
 * An order from the entry daemon to the lease holder.
 */
public sealed interface WorkOrder permits SubmitWork, CancelWork {

	/**
	 * Returns the attempt that the order is about.
	 * @return the attempt
	 */
	AttemptId attempt();

}
