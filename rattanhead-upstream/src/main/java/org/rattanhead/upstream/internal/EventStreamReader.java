package org.rattanhead.upstream.internal;

import java.util.ArrayList;
import java.util.List;

import org.rattanhead.core.Payload;
import org.rattanhead.core.request.AttemptId;
import org.rattanhead.core.work.WorkChunk;
import org.rattanhead.core.work.WorkEnded;
import org.rattanhead.core.work.WorkSignal;
import org.rattanhead.core.work.WorkStarted;

/**
 * Reads server-sent events. Only complete events are passed on. Each event must belong to
 * the attempt, and the last one must be the end marker.
 */
final class EventStreamReader implements AnswerReader {

	private static final int MAX_EVENT_BYTES = 4 * 1024 * 1024;

	private static final String END_MARKER = "data: [DONE]";

	private static final String DATA = "data: ";

	private final WorkStarted start;

	private final BoundedBuffer buffer = new BoundedBuffer(MAX_EVENT_BYTES);

	private int scannedLength;

	private boolean started;

	private boolean endMarkerRead;

	EventStreamReader(WorkStarted start) {
		this.start = start;
	}

	@Override
	public List<WorkSignal> read(Payload bytes) throws InvalidAnswerException {
		this.buffer.append(bytes);
		int complete = completeLength();
		if (complete == 0) {
			return List.of();
		}
		Payload events = this.buffer.take(complete);
		this.scannedLength = 0;
		check(events);
		List<WorkSignal> signals = new ArrayList<>(2);
		if (!this.started) {
			this.started = true;
			signals.add(this.start);
		}
		signals.add(new WorkChunk(attempt(), events));
		return signals;
	}

	@Override
	public List<WorkSignal> end() throws InvalidAnswerException {
		if (!this.endMarkerRead || this.buffer.length() > 0) {
			throw new InvalidAnswerException("the event stream ended without its end marker", false);
		}
		return List.of(new WorkEnded(attempt()));
	}

	private int completeLength() {
		int complete = 0;
		for (int index = Math.max(1, this.scannedLength); index < this.buffer.length(); index++) {
			if (this.buffer.at(index) == '\n' && this.buffer.at(index - 1) == '\n') {
				complete = index + 1;
			}
		}
		this.scannedLength = this.buffer.length();
		return complete;
	}

	private void check(Payload events) throws InvalidAnswerException {
		for (String line : events.text().split("\n")) {
			if (this.endMarkerRead && line.startsWith(DATA)) {
				throw new InvalidAnswerException("the event stream went on after its end marker", false);
			}
			if (line.equals(END_MARKER)) {
				this.endMarkerRead = true;
			}
			else if (line.startsWith(DATA)) {
				AnswerIds.check(Payload.of(line.substring(DATA.length())), attempt());
			}
		}
	}

	private AttemptId attempt() {
		return this.start.attempt();
	}

}
