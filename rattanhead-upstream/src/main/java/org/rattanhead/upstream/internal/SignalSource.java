package org.rattanhead.upstream.internal;

import java.util.List;

import org.rattanhead.core.work.WorkSignal;

/**
 * A step of reading an answer that returns signals.
 */
@FunctionalInterface
interface SignalSource {

	/**
	 * Runs the step.
	 * @return the signals
	 * @throws InvalidAnswerException if the answer is incomplete, malformed or crossed
	 */
	List<WorkSignal> signals() throws InvalidAnswerException;

}
