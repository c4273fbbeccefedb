package org.rattanhead.upstream.internal;

import java.util.Arrays;

import org.rattanhead.core.Payload;

/**
 * A growing byte buffer with a maximum length.
 */
final class BoundedBuffer {

	private static final int INITIAL_BYTES = 1_024;

	private final int maxBytes;

	private byte[] bytes = new byte[INITIAL_BYTES];

	private int length;

	BoundedBuffer(int maxBytes) {
		this.maxBytes = maxBytes;
	}

	void append(Payload payload) throws InvalidAnswerException {
		int needed = this.length + payload.length();
		if (needed > this.maxBytes) {
			throw new InvalidAnswerException("the answer exceeds " + this.maxBytes + " bytes", false);
		}
		if (needed > this.bytes.length) {
			this.bytes = Arrays.copyOf(this.bytes, Math.max(needed, this.bytes.length * 2));
		}
		System.arraycopy(payload.bytes(), 0, this.bytes, this.length, payload.length());
		this.length = needed;
	}

	int length() {
		return this.length;
	}

	byte at(int index) {
		return this.bytes[index];
	}

	Payload take(int count) {
		byte[] taken = Arrays.copyOf(this.bytes, count);
		System.arraycopy(this.bytes, count, this.bytes, 0, this.length - count);
		this.length -= count;
		return new Payload(taken);
	}

}
