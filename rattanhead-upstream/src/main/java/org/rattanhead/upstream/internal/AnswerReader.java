package org.rattanhead.upstream.internal;

import java.util.List;

import org.rattanhead.core.Payload;
import org.rattanhead.core.work.WorkSignal;

/**
 * Converts the bytes of an answer into signals. Confined to the I/O thread of its call.
 */
interface AnswerReader {

	/**
	 * Reads a part of the answer.
	 * @param bytes the part
	 * @return the signals it completes
	 * @throws InvalidAnswerException if the answer is malformed or belongs to another
	 * attempt
	 */
	List<WorkSignal> read(Payload bytes) throws InvalidAnswerException;

	/**
	 * Reads the end of the answer.
	 * @return the last signals
	 * @throws InvalidAnswerException if the answer is incomplete or belongs to another
	 * attempt
	 */
	List<WorkSignal> end() throws InvalidAnswerException;

}
