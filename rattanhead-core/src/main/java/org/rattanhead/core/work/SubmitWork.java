package org.rattanhead.core.work;

import org.rattanhead.core.request.AttemptId;
import org.rattanhead.core.request.Work;

/**
 * Submits work to the lease holder of an upstream.
 *
 * @param upstream the upstream
 * @param work the work
 */
public record SubmitWork(String upstream, Work work) implements WorkOrder {

	@Override
	public AttemptId attempt() {
		return this.work.attempt();
	}

}
