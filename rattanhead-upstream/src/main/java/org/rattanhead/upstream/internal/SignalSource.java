package org.rattanhead.upstream.internal;

import java.util.List;

import org.rattanhead.core.work.WorkSignal;

/**
 * A step of reading that yields signals or finds a fault.
 */
@FunctionalInterface
interface SignalSource {

	/**
	 * Runs the step.
	 * @return the signals
	 * @throws AnswerFault if the answer is broken off or crossed
	 */
	List<WorkSignal> signals() throws AnswerFault;

}
