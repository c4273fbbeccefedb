package org.rattanhead.decision.forward;

import java.util.Optional;

import org.rattanhead.core.Payload;
import org.rattanhead.core.PayloadBuffer;

/**
 * Splits a stream of server-sent events at event boundaries, so that only complete events
 * are passed on, and keeps the id of the last one.
 */
final class EventSplitter {

	private static final String ID_FIELD = "id:";

	private final PayloadBuffer remainder = new PayloadBuffer();

	private String lastId;

	/**
	 * Reads a part of the stream.
	 * @param bytes the part
	 * @return the events completed by it, empty if there is none
	 */
	Optional<Payload> feed(Payload bytes) {
		int scanned = this.remainder.length();
		this.remainder.append(bytes);
		int end = lastEventEnd(scanned);
		if (end == 0) {
			return Optional.empty();
		}
		Payload events = this.remainder.take(end);
		events.text().lines().filter((line) -> line.startsWith(ID_FIELD)).forEach(this::saveId);
		return Optional.of(events);
	}

	/**
	 * Returns the length of the event that is not complete.
	 * @return the number of bytes
	 */
	int remainingBytes() {
		return this.remainder.length();
	}

	boolean insideEvent() {
		return this.remainder.length() > 0;
	}

	Optional<String> lastId() {
		return Optional.ofNullable(this.lastId);
	}

	/**
	 * Discards an incomplete event before the stream resumes on another instance.
	 */
	void discardRemainder() {
		this.remainder.clear();
	}

	private void saveId(String line) {
		this.lastId = line.substring(ID_FIELD.length()).trim();
	}

	/**
	 * Finds the end of the last complete event.
	 * @param scanned the number of bytes in which no event ends
	 * @return the number of bytes up to that end, 0 if no event ends
	 */
	private int lastEventEnd(int scanned) {
		for (int index = this.remainder.length() - 1; index >= Math.max(1, scanned); index--) {
			if (newLine(index) && (newLine(index - 1)
					|| (index > 2 && this.remainder.at(index - 1) == '\r' && newLine(index - 2)))) {
				return index + 1;
			}
		}
		return 0;
	}

	private boolean newLine(int index) {
		return this.remainder.at(index) == '\n';
	}

}
