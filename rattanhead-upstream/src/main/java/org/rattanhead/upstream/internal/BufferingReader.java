package org.rattanhead.upstream.internal;

import java.util.List;

import org.rattanhead.core.Payload;
import org.rattanhead.core.work.WorkChunk;
import org.rattanhead.core.work.WorkEnded;
import org.rattanhead.core.work.WorkSignal;
import org.rattanhead.core.work.WorkStarted;

/**
 * Buffers an answer and passes it on when it is complete.
 */
final class BufferingReader implements AnswerReader {

	private static final int MAX_ANSWER_BYTES = 64 * 1024 * 1024;

	private final WorkStarted start;

	private final boolean checkId;

	private final BoundedBuffer buffer = new BoundedBuffer(MAX_ANSWER_BYTES);

	BufferingReader(WorkStarted start, boolean checkId) {
		this.start = start;
		this.checkId = checkId;
	}

	@Override
	public List<WorkSignal> read(Payload bytes) throws InvalidAnswerException {
		this.buffer.append(bytes);
		return List.of();
	}

	@Override
	public List<WorkSignal> end() throws InvalidAnswerException {
		Payload body = this.buffer.take(this.buffer.length());
		if (this.checkId) {
			AnswerIds.check(body, this.start.attempt());
		}
		return List.of(this.start, new WorkChunk(this.start.attempt(), body), new WorkEnded(this.start.attempt()));
	}

}
