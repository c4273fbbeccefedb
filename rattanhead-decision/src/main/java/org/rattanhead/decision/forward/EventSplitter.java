package org.rattanhead.decision.forward;

import java.util.Arrays;
import java.util.Optional;

import org.rattanhead.core.Payload;

/**
 * Splits a stream of server-sent events at event boundaries, so that only complete events
 * are passed on, and keeps the id of the last one.
 */
final class EventSplitter {

	private static final String ID_FIELD = "id:";

	/** An event that exceeds this is taken for bytes without end. */
	private static final int MAX_EVENT_BYTES = 256 * 1024;

	private static final int INITIAL_BYTES = 512;

	private byte[] remainder = new byte[INITIAL_BYTES];

	private int length;

	private String lastId;

	/**
	 * Reads a part of the stream.
	 * @param bytes the part
	 * @return the events completed by it, empty if there is none
	 */
	Optional<Payload> feed(Payload bytes) {
		int scanned = this.length;
		append(bytes);
		int end = lastEventEnd(scanned);
		if (end == 0) {
			return Optional.empty();
		}
		Payload events = new Payload(Arrays.copyOf(this.remainder, end));
		this.remainder = Arrays.copyOfRange(this.remainder, end, Math.max(this.length, end + INITIAL_BYTES));
		this.length -= end;
		events.text().lines().filter((line) -> line.startsWith(ID_FIELD)).forEach(this::saveId);
		return Optional.of(events);
	}

	boolean oversized() {
		return this.length > MAX_EVENT_BYTES;
	}

	boolean insideEvent() {
		return this.length > 0;
	}

	Optional<String> lastId() {
		return Optional.ofNullable(this.lastId);
	}

	/**
	 * Discards an incomplete event before the stream resumes on another instance.
	 */
	void discardRemainder() {
		this.length = 0;
	}

	private void saveId(String line) {
		this.lastId = line.substring(ID_FIELD.length()).trim();
	}

	private void append(Payload bytes) {
		int needed = this.length + bytes.length();
		if (needed > this.remainder.length) {
			this.remainder = Arrays.copyOf(this.remainder, Math.max(needed, 2 * this.remainder.length));
		}
		System.arraycopy(bytes.bytes(), 0, this.remainder, this.length, bytes.length());
		this.length = needed;
	}

	/**
	 * Finds the end of the last complete event.
	 * @param scanned the number of bytes in which no event ends
	 * @return the number of bytes up to that end, 0 if no event ends
	 */
	private int lastEventEnd(int scanned) {
		for (int index = this.length - 1; index >= Math.max(1, scanned); index--) {
			if (this.remainder[index] == '\n' && (this.remainder[index - 1] == '\n'
					|| (index > 2 && this.remainder[index - 1] == '\r' && this.remainder[index - 2] == '\n'))) {
				return index + 1;
			}
		}
		return 0;
	}

}
